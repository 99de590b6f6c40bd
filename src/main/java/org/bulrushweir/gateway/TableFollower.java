package org.bulrushweir.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.Clock;
import org.bulrushweir.store.ChangeFeed;
import org.bulrushweir.store.ChangePage;
import org.bulrushweir.store.HistoryLostException;
import org.bulrushweir.store.SharedTable;

/** Follows a shared table: reads it whole, then waits for changes, and starts anew if need be. */
final class TableFollower {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ChangeFeed feed;
  private final SharedTable table;
  private final TableListener listener;
  private final EventLoop loop;
  private final Clock clock;
  private long calledAtMs;
  private boolean known;
  private boolean reachable = true;
  private boolean stopped;
  private long version;
  private long retryMs = PollTimings.FIRST_RETRY_MS;

  /**
   * Creates a follower.
   *
   * @param feed the store
   * @param table the table
   * @param listener learns what the table holds
   * @param loop where the listener is called
   * @param clock the clock
   */
  TableFollower(
      final ChangeFeed feed,
      final SharedTable table,
      final TableListener listener,
      final EventLoop loop,
      final Clock clock) {
    this.feed = feed;
    this.table = table;
    this.listener = listener;
    this.loop = loop;
    this.clock = clock;
  }

  void start() {
    loop.execute(this::poll);
  }

  void stop() {
    loop.execute(() -> stopped = true);
  }

  private void poll() {
    if (stopped) {
      return;
    }
    calledAtMs = clock.nowMs();
    final CompletableFuture<ChangePage> answer =
        known ? feed.changes(table, version, PollTimings.WAIT_MS) : feed.snapshot(table);
    answer.whenComplete((page, failure) -> loop.execute(() -> answered(page, failure)));
  }

  private void answered(final ChangePage page, final Throwable failure) {
    if (failure != null) {
      failed(failure instanceof CompletionException ? failure.getCause() : failure);
      return;
    }
    retryMs = PollTimings.FIRST_RETRY_MS;
    if (!reachable) {
      reachable = true;
      logger.atInfo().log("regained the platform's table %s at version %d", table, page.version());
    }
    listener.onUpToDate();
    if (known) {
      listener.onChanges(page.rows());
    } else {
      listener.onSnapshot(page.rows());
    }
    known = true;
    version = Math.max(version, page.version());
    if (page.rows().isEmpty()) {
      poll();
      return;
    }
    loop.schedule(this::poll, PollTimings.BATCH_MS, TimeUnit.MILLISECONDS);
  }

  private void failed(final Throwable failure) {
    if (failure instanceof HistoryLostException) {
      logger.atInfo().log("the history of %s after version %d is dropped", table, version);
      known = false;
      poll();
      return;
    }
    if (reachable) {
      reachable = false;
      logger.atWarning().log(
          "lost the platform's table %s at version %d: %s", table, version, failure.getMessage());
    }
    listener.onUnreachable(calledAtMs);
    final long pauseMs = retryMs / 2 + ThreadLocalRandom.current().nextLong(retryMs);
    retryMs = Math.min(PollTimings.LONGEST_RETRY_MS, 2 * retryMs);
    loop.schedule(this::poll, pauseMs, TimeUnit.MILLISECONDS);
  }
}
