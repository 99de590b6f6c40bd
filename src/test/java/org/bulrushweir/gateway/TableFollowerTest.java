package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.store.ChangeFeed;
import org.bulrushweir.store.ChangePage;
import org.bulrushweir.store.RowChange;
import org.bulrushweir.store.SharedTable;
import org.junit.jupiter.api.Test;

/** Tests how a table of the store is followed. */
class TableFollowerTest {

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final List<RowChange> learned = new ArrayList<>();
  private final BusyFeed feed = new BusyFeed();

  private TableListener listener() {
    return new TableListener() {
      @Override
      public void onSnapshot(final List<RowChange> rows) {
        learned.addAll(rows);
      }

      @Override
      public void onChanges(final List<RowChange> rows) {
        learned.addAll(rows);
      }

      @Override
      public void onUpToDate() {
        // The age of the table is not looked at here.
      }

      @Override
      public void onUnreachable(final long calledAtMs) {
        throw new IllegalStateException("the feed never fails here");
      }
    };
  }

  /** Load: endpoints are replaced one after the other, so that each call finds a change at once. */
  @Test
  void changesInQuickSuccessionCostFewCalls() {
    final TableFollower follower =
        new TableFollower(feed, SharedTable.ENDPOINTS, listener(), channel.eventLoop(), () -> 0);
    follower.start();
    channel.runPendingTasks();
    for (int step = 0; step < 100; step++) {
      channel.advanceTimeBy(10, TimeUnit.MILLISECONDS);
      channel.runScheduledPendingTasks();
      channel.runPendingTasks();
    }
    assertTrue(feed.calls >= 5 && feed.calls <= 10, "calls in a second: " + feed.calls);
    assertEquals(feed.calls, learned.size(), "each answer is learned");
  }

  /** Answers each call at once with a change. */
  private static final class BusyFeed implements ChangeFeed {

    private int calls;

    private CompletableFuture<ChangePage> answer() {
      calls++;
      final RowChange change = new RowChange("endpoint", Optional.of("{}"), calls);
      return CompletableFuture.completedFuture(new ChangePage(List.of(change), calls));
    }

    @Override
    public CompletableFuture<ChangePage> snapshot(final SharedTable table) {
      return answer();
    }

    @Override
    public CompletableFuture<ChangePage> changes(
        final SharedTable table, final long after, final long waitMs) {
      return answer();
    }

    @Override
    public CompletableFuture<Void> put(
        final SharedTable table, final String key, final String value) {
      throw new IllegalStateException("nothing is written here");
    }

    @Override
    public CompletableFuture<Void> remove(final SharedTable table, final String key) {
      throw new IllegalStateException("nothing is removed here");
    }
  }
}
