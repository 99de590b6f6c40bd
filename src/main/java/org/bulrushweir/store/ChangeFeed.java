package org.bulrushweir.store;

import java.util.concurrent.CompletableFuture;

/**
 * Reads shared tables and what changes in them. All futures fail with a {@link PlatformException}
 * if the platform does not answer in time.
 */
public interface ChangeFeed {

  /**
   * Reads a whole table.
   *
   * @param table the table
   * @return its rows and the version from which its changes can be followed
   */
  CompletableFuture<ChangePage> snapshot(SharedTable table);

  /**
   * Waits for changes.
   *
   * @param table the table
   * @param after the version after which changes are wanted
   * @param waitMs how long to wait if there is none, in milliseconds
   * @return the changed rows in order; cancelling it closes the connection of the call; fails with
   *     a {@link HistoryLostException} if the platform has dropped the history
   */
  CompletableFuture<ChangePage> changes(SharedTable table, long after, long waitMs);

  /**
   * Sets a row of a shared table, whatever it holds.
   *
   * @param table the table
   * @param key the row's key
   * @param value the row's value
   * @return completes when the row is set
   */
  CompletableFuture<Void> put(SharedTable table, String key, String value);

  /**
   * Removes a row of a shared table.
   *
   * @param table the table
   * @param key the row's key
   * @return completes when the row is gone
   */
  CompletableFuture<Void> remove(SharedTable table, String key);
}
