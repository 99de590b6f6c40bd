package org.bulrushweir.store;

import java.util.List;

/**
 * Groups writes that take effect together, if all conditions hold.
 *
 * @param conditions what must hold
 * @param writes what to write
 */
public record Transaction(List<Condition> conditions, List<Write> writes) {

  /**
   * Replaces a row if it still has the version that was read.
   *
   * @param row the row as read
   * @param value the new value
   * @return the transaction
   */
  public static Transaction replace(final Row row, final String value) {
    return new Transaction(
        List.of(new Condition(row.key(), row.version())), List.of(new Write(row.key(), value)));
  }

  /**
   * Inserts a row if it is absent.
   *
   * @param key the row's key
   * @param value the row's value
   * @return the transaction
   */
  public static Transaction insert(final String key, final String value) {
    return replace(Row.absent(key), value);
  }

  /**
   * Deletes a row if it still has the version that was read.
   *
   * @param row the row as read
   * @return the transaction
   */
  public static Transaction delete(final Row row) {
    return replace(row, null);
  }
}
