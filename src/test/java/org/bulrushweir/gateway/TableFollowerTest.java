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

/** Tests how often a table of the store is polled. */
class TableFollowerTest {

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final List<RowChange> received = new ArrayList<>();
  private final BusyFeed feed = new BusyFeed();

  private TableListener listener() {
    return new TableListener() {
      @Override
      public void onSnapshot(final List<RowChange> rows) {
        received.addAll(rows);
      }

      @Override
      public void onChanges(final List<RowChange> rows) {
        received.addAll(rows);
      }

      @Override
      public void onUpToDate(final long confirmedAtMs) {
        // This test does not check the confirmations.
      }

      @Override
      public void onRestored(final long answeredUntilMs) {
        // The snapshot that follows is checked.
      }

      @Override
      public void onUnreachable(final long answeredUntilMs) {
        throw new IllegalStateException("the feed never fails in this test");
      }
    };
  }

  /**
   * Guards against one call per change: during a rolling replacement of endpoints, each poll finds
   * a change at once, and without a delay after it the follower polls without pause.
   */
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
    assertEquals(feed.calls, received.size(), "every response must reach the listener");
  }

  /** Guards against a follower that stops for good because its listener fails once. */
  @Test
  void tableIsFollowedAfterTheListenerHasFailed() {
    final ScriptedFeed scripted = new ScriptedFeed();
    final TableListener failing =
        new ForwardingTableListener(listener()) {
          @Override
          public void onChanges(final List<RowChange> rows) {
            throw new IllegalStateException("fails on purpose");
          }
        };
    new TableFollower(scripted, SharedTable.ENDPOINTS, failing, channel.eventLoop(), () -> 0)
        .start();
    channel.runPendingTasks();
    scripted.set("endpoint-1", "{}");
    scripted.set("endpoint-2", "{}");
    for (int step = 0; step < 100; step++) {
      channel.advanceTimeBy(10, TimeUnit.MILLISECONDS);
      channel.runScheduledPendingTasks();
      channel.runPendingTasks();
    }
    assertEquals(2, received.size(), "the rows must come with the next snapshot");
    assertTrue(scripted.snapshots() <= 3, "snapshots: " + scripted.snapshots());
  }

  /** Returns one change immediately on every call. */
  private static final class BusyFeed implements ChangeFeed {

    private int calls;

    private CompletableFuture<ChangePage> changePage() {
      calls++;
      final RowChange change = new RowChange("endpoint", Optional.of("{}"), calls);
      return CompletableFuture.completedFuture(new ChangePage(List.of(change), calls, 1));
    }

    @Override
    public CompletableFuture<ChangePage> snapshot(final SharedTable table) {
      return changePage();
    }

    @Override
    public CompletableFuture<ChangePage> changes(
        final SharedTable table, final long after, final long waitMs) {
      return changePage();
    }

    @Override
    public CompletableFuture<Void> put(
        final SharedTable table, final String key, final String value) {
      throw new IllegalStateException("this test writes no row");
    }

    @Override
    public CompletableFuture<Void> remove(final SharedTable table, final String key) {
      throw new IllegalStateException("this test removes no row");
    }
  }
}
