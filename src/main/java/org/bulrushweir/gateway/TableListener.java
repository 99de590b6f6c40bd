package org.bulrushweir.gateway;

import java.util.List;
import org.bulrushweir.store.RowChange;

/** Learns what a shared table holds; called on the event loop. */
public interface TableListener {

  /**
   * Takes the whole table.
   *
   * @param rows all rows
   */
  void onSnapshot(List<RowChange> rows);

  /**
   * Takes changed rows.
   *
   * @param rows the rows in the order of their changes
   */
  void onChanges(List<RowChange> rows);

  /** Notes that the store has told all that it knows; comes with every answer of it. */
  void onUpToDate();

  /**
   * Notes that the store can't be reached.
   *
   * @param calledAtMs when the call began that it did not answer
   */
  void onUnreachable(long calledAtMs);
}
