package org.bulrushweir.standin;

/**
 * Holds a row of the platform stand-in.
 *
 * @param table the table
 * @param key the key
 * @param value the value in base64, null if the row was removed
 * @param version the version of its last change, zero if it never existed
 */
public record StoredRow(String table, String key, String value, long version) {

  /**
   * Tells whether the row exists.
   *
   * @return false if it was removed or never existed
   */
  public boolean exists() {
    return value != null;
  }
}
