package org.bulrushweir.gateway;

import java.util.List;
import org.bulrushweir.store.RowChange;

/** Receives the rows of a shared table and their changes; called on the event loop. */
public interface TableListener {

  /**
   * Replaces all rows, after a snapshot was read.
   *
   * @param rows all rows of the table
   */
  void onSnapshot(List<RowChange> rows);

  /**
   * Applies changed rows.
   *
   * @param rows the changed rows in the order of their changes
   */
  void onChanges(List<RowChange> rows);

  /**
   * Confirms that the listener is up to date: the store has just returned all changes it holds.
   * Called with every response of the store, before its rows are applied.
   */
  void onUpToDate();

  /**
   * Handles that the store was restored from an older copy. Called before the snapshot that
   * follows, which may hold rows that were changed or removed since the copy.
   *
   * @param pollStartedMs the start of the poll that has shown it, in Unix milliseconds
   */
  void onRestored(long pollStartedMs);

  /**
   * Handles the failure of a poll.
   *
   * @param pollStartedMs the start of the failed poll, in Unix milliseconds
   */
  void onUnreachable(long pollStartedMs);
}
