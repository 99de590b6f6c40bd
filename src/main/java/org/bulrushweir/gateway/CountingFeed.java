package org.bulrushweir.gateway;

import java.util.concurrent.CompletableFuture;
import org.bulrushweir.store.ChangeFeed;
import org.bulrushweir.store.ChangePage;
import org.bulrushweir.store.SharedTable;

/** Counts the calls to the store by table and kind. */
final class CountingFeed implements ChangeFeed {

  private final ChangeFeed target;
  private final Counter counter;

  /**
   * Creates a counting feed.
   *
   * @param target makes the calls
   * @param counter counts them
   */
  CountingFeed(final ChangeFeed target, final Counter counter) {
    this.target = target;
    this.counter = counter;
  }

  @Override
  public CompletableFuture<ChangePage> snapshot(final SharedTable table) {
    counter.count(table, "snapshot");
    return target.snapshot(table);
  }

  @Override
  public CompletableFuture<ChangePage> changes(
      final SharedTable table, final long after, final long waitMs) {
    counter.count(table, waitMs > 0 ? "wait" : "immediate");
    return target.changes(table, after, waitMs);
  }

  @Override
  public CompletableFuture<Void> put(
      final SharedTable table, final String key, final String value) {
    counter.count(table, "write");
    return target.put(table, key, value);
  }

  @Override
  public CompletableFuture<Void> remove(final SharedTable table, final String key) {
    counter.count(table, "write");
    return target.remove(table, key);
  }

  /** Counts calls; called on any thread. */
  @FunctionalInterface
  interface Counter {

    /**
     * Counts a call.
     *
     * @param table the table
     * @param kind the label value that names the kind of call
     */
    void count(SharedTable table, String kind);
  }
}
