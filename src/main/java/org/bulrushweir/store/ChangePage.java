package org.bulrushweir.store;

import java.util.List;

/**
 * Holds rows of a table, or what has changed there.
 *
 * @param rows the rows
 * @param version the store's version up to which this holds
 * @param era the number of times that the store was restored from an older copy, as it counts them.
 *     Versions of different eras cannot be compared, since a restored store gives out the same ones
 *     again.
 */
public record ChangePage(List<RowChange> rows, long version, long era) {

  /** Copies the rows. */
  public ChangePage {
    rows = List.copyOf(rows);
  }
}
