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
   * Returns whether the changes that were applied last can be followed by a longer delay, as none
   * of them affects which endpoints get requests.
   *
   * @return true if they are of little importance
   */
  default boolean areLastChangesMinor() {
    return false;
  }

  /**
   * Confirms that the listener is up to date: the store has returned all changes it holds. Called
   * with every response of the store, before its rows are applied, and when a peer's reading
   * confirms the table while the store is reachable.
   *
   * @param confirmedAtMs the time as of which the table is up to date, in Unix milliseconds
   */
  void onUpToDate(long confirmedAtMs);

  /**
   * Handles that the store was restored from an older copy. Called before the snapshot that
   * follows, which may hold rows that were changed or removed since the copy.
   *
   * @param answeredUntilMs the earliest time at which it can have been: the start of the poll that
   *     has shown it, or the time of a later confirmation, in Unix milliseconds
   */
  void onRestored(long answeredUntilMs);

  /**
   * Handles the failure of a poll.
   *
   * @param answeredUntilMs the earliest time at which the store can have stopped to answer: the
   *     start of the failed poll, or the time of a later confirmation, in Unix milliseconds
   */
  void onUnreachable(long answeredUntilMs);
}
