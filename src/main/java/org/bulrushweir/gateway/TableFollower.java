package org.bulrushweir.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.Clock;
import org.bulrushweir.store.ChangeFeed;
import org.bulrushweir.store.ChangePage;
import org.bulrushweir.store.HistoryLostException;
import org.bulrushweir.store.SharedTable;

/**
 * Keeps a listener up to date with a shared table: reads a snapshot, then long-polls for changes.
 * It reads a new snapshot if the store no longer holds the changes after the last version read.
 */
final class TableFollower {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The shortest time between two log lines on a listener that fails, in seconds. */
  private static final int FAILURE_LOG_INTERVAL_S = 10;

  private final ChangeFeed feed;
  private final SharedTable table;
  private final TableListener listener;
  private final EventLoop loop;
  private final Clock clock;
  private long pollStartedMs;
  private boolean snapshotRead;
  private boolean reachable = true;
  private boolean stopped;
  private long version;
  private OptionalLong era = OptionalLong.empty();
  private long retryDelayMs = PollTimings.INITIAL_RETRY_MS;

  /**
   * Creates a follower.
   *
   * @param feed the store's change feed
   * @param table the table to follow
   * @param listener receives the table's rows
   * @param loop the event loop that calls the listener
   * @param clock the process's clock
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
    pollStartedMs = clock.nowMs();
    // After a failure, a poll that does not wait tells soon whether the store was restored.
    final CompletableFuture<ChangePage> result =
        snapshotRead
            ? feed.changes(table, version, reachable ? PollTimings.POLL_WAIT_MS : 0)
            : feed.snapshot(table);
    result.whenComplete((page, failure) -> loop.execute(() -> onPolled(page, failure)));
  }

  private void onPolled(final ChangePage page, final Throwable failure) {
    try {
      if (failure == null) {
        onPage(page);
      } else {
        onFailure(failure instanceof CompletionException ? failure.getCause() : failure);
      }
    } catch (RuntimeException | Error e) {
      onListenerFailure(e);
    }
  }

  /** Goes on with a snapshot, since the listener may have applied a part of the rows only. */
  private void onListenerFailure(final Throwable failure) {
    logger.atSevere().atMostEvery(FAILURE_LOG_INTERVAL_S, TimeUnit.SECONDS).withCause(failure).log(
        "applying the rows of table %s after version %d failed; reading a snapshot",
        table, version);
    snapshotRead = false;
    pollAfterRetryDelay();
  }

  private void onPage(final ChangePage page) {
    if (!reachable) {
      reachable = true;
      logger.atInfo().log(
          "table %s of the store is reachable again at version %d", table, page.version());
    }
    if (era.isPresent() && era.getAsLong() != page.era()) {
      onRestored(page);
      if (snapshotRead) {
        // The changes do not start from what was read in the earlier era.
        snapshotRead = false;
        poll();
        return;
      }
    }
    era = OptionalLong.of(page.era());
    listener.onUpToDate();
    if (snapshotRead) {
      listener.onChanges(page.rows());
    } else {
      listener.onSnapshot(page.rows());
    }
    snapshotRead = true;
    version = page.version();
    retryDelayMs = PollTimings.INITIAL_RETRY_MS;
    if (page.rows().isEmpty()) {
      poll();
      return;
    }
    loop.schedule(this::poll, PollTimings.BATCH_DELAY_MS, TimeUnit.MILLISECONDS);
  }

  private void onRestored(final ChangePage page) {
    logger.atWarning().log(
        "the store was restored from an older copy: table %s was at version %d of era %d and is at"
            + " version %d of era %d",
        table, version, era.orElseThrow(), page.version(), page.era());
    era = OptionalLong.of(page.era());
    listener.onRestored(pollStartedMs);
  }

  private void onFailure(final Throwable failure) {
    if (failure instanceof HistoryLostException) {
      logger.atInfo().log(
          "the store dropped the changes of table %s after version %d; reading a snapshot",
          table, version);
      snapshotRead = false;
      poll();
      return;
    }
    if (reachable) {
      reachable = false;
      logger.atWarning().log(
          "polling table %s of the store failed at version %d: %s",
          table, version, failure.getMessage());
    }
    listener.onUnreachable(pollStartedMs);
    pollAfterRetryDelay();
  }

  private void pollAfterRetryDelay() {
    final long delayMs = retryDelayMs / 2 + ThreadLocalRandom.current().nextLong(retryDelayMs);
    retryDelayMs = Math.min(PollTimings.MAX_RETRY_MS, 2 * retryDelayMs);
    loop.schedule(this::poll, delayMs, TimeUnit.MILLISECONDS);
  }
}
