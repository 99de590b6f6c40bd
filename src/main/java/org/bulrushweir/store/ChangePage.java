package org.bulrushweir.store;

import java.util.List;

/**
 * Holds rows of a table, or what has changed there.
 *
 * @param rows the rows
 * @param version the store's version up to which this holds
 */
public record ChangePage(List<RowChange> rows, long version) {

  /** Copies the rows. */
  public ChangePage {
    rows = List.copyOf(rows);
  }
}
