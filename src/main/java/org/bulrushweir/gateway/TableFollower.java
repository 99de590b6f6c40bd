package org.bulrushweir.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.kernel.PeriodicTask;
import org.bulrushweir.store.CallKind;
import org.bulrushweir.store.ChangeFeed;
import org.bulrushweir.store.ChangePage;
import org.bulrushweir.store.FeedCall;
import org.bulrushweir.store.HistoryLostException;
import org.bulrushweir.store.PeerReading;
import org.bulrushweir.store.PollAction;
import org.bulrushweir.store.ReadingSchedule;
import org.bulrushweir.store.SharedTable;

/**
 * Keeps a listener up to date with a shared table: reads a snapshot, then long-polls for changes.
 * It reads a new snapshot if the store no longer holds the changes after the last version read. If
 * gateways share their readings, the schedule decides when a waiting poll is abandoned, and when
 * the store is asked on a second connection, since that of the poll may have gone silent.
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
  private final ReadingSchedule schedule;
  private final Runnable announce;
  private Optional<PendingCall> poll = Optional.empty();
  private Optional<PendingCall> probe = Optional.empty();
  private boolean snapshotRead;
  private boolean reachable = true;
  private boolean stopped;
  private long version;
  private OptionalLong era = OptionalLong.empty();
  private long retryDelayMs = PollTimings.INITIAL_RETRY_MS;

  /**
   * Creates a follower that reads for itself.
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
    this(feed, table, listener, loop, clock, new ReadingSchedule(false, () -> 0), () -> {});
  }

  /**
   * Creates a follower.
   *
   * @param feed the store's change feed
   * @param table the table to follow
   * @param listener receives the table's rows
   * @param loop the event loop that calls the listener
   * @param clock the process's clock
   * @param schedule decides when the store is asked
   * @param announce tells peers soon about what the store has said without a change
   */
  TableFollower(
      final ChangeFeed feed,
      final SharedTable table,
      final TableListener listener,
      final EventLoop loop,
      final Clock clock,
      final ReadingSchedule schedule,
      final Runnable announce) {
    this.feed = feed;
    this.table = table;
    this.listener = listener;
    this.loop = loop;
    this.clock = clock;
    this.schedule = schedule;
    this.announce = announce;
  }

  /** Starts to follow the table. */
  void start() {
    loop.execute(this::poll);
    if (schedule.isShared()) {
      loop.scheduleWithFixedDelay(
          new PeriodicTask("check the polls of table " + table, this::check),
          PollTimings.CHECK_INTERVAL_MS,
          PollTimings.CHECK_INTERVAL_MS,
          TimeUnit.MILLISECONDS);
    }
  }

  /** Stops following the table and gives up the calls in progress. */
  void stop() {
    loop.execute(
        () -> {
          stopped = true;
          giveUpCalls();
        });
  }

  /**
   * Returns what this gateway has read, for its peers.
   *
   * @return the reading, empty before the table was read
   */
  Optional<PeerReading> reading() {
    return schedule.own(clock.nowMs());
  }

  /**
   * Applies a peer's reading.
   *
   * @param peer the peer
   * @param reading its reading
   */
  void hear(final NodeId peer, final PeerReading reading) {
    if (schedule.hear(peer, reading, clock.nowMs())) {
      listener.onUpToDate(schedule.confirmedAtMs());
    }
  }

  private void poll() {
    // After a failure, a poll that does not wait tells soon whether the store was restored.
    poll(reachable ? schedule.nextWaitMs(clock.nowMs()) : 0);
  }

  private void poll(final long waitMs) {
    if (stopped) {
      return;
    }
    final CallKind kind = snapshotRead ? CallKind.POLL : CallKind.SNAPSHOT;
    poll = Optional.of(send(new FeedCall(kind, clock.nowMs(), snapshotRead ? waitMs : 0)));
  }

  private PendingCall send(final FeedCall call) {
    final PendingCall pending =
        new PendingCall(
            call,
            call.kind() == CallKind.SNAPSHOT
                ? feed.snapshot(table)
                : feed.changes(table, version, call.waitMs()));
    pending.result.whenComplete(
        (page, failure) -> loop.execute(() -> onAnswer(pending, page, failure)));
    return pending;
  }

  private void check() {
    final long nowMs = clock.nowMs();
    schedule.tick(nowMs);
    if (stopped || poll.isEmpty()) {
      return;
    }
    final FeedCall call = poll.get().call;
    final PollAction action = schedule.check(call, nowMs);
    if (probe.isPresent()
        && nowMs - probe.get().call.startedMs() < ReadingSchedule.ANSWER_GRACE_MS) {
      return;
    }
    if (action == PollAction.PROBE && probe.isEmpty()) {
      probe = Optional.of(send(new FeedCall(CallKind.PROBE, nowMs, 0)));
    }
    if (action.abandons()) {
      logger.atInfo().log(
          "abandoned the poll of table %s after %d ms at version %d: %s",
          table, nowMs - call.startedMs(), version, action.reason());
      giveUpCalls();
      poll(0);
    }
  }

  private void giveUpCalls() {
    poll.ifPresent(pending -> pending.result.cancel(false));
    probe.ifPresent(pending -> pending.result.cancel(false));
    poll = Optional.empty();
    probe = Optional.empty();
  }

  private boolean isPending(final PendingCall pending) {
    return poll.filter(it -> it == pending).isPresent()
        || probe.filter(it -> it == pending).isPresent();
  }

  private void onAnswer(final PendingCall pending, final ChangePage page, final Throwable failure) {
    if (!isPending(pending)) {
      return;
    }
    final FeedCall call = pending.call;
    if (call.kind() == CallKind.PROBE && failure == null && isUnchanged(page)) {
      probe = Optional.empty();
      recordPage(page, call);
      return;
    }
    giveUpCalls();
    try {
      if (failure == null) {
        onPage(page, call);
      } else {
        onFailure(failure instanceof CompletionException ? failure.getCause() : failure, call);
      }
    } catch (RuntimeException | Error e) {
      onListenerFailure(e);
    }
  }

  private boolean isUnchanged(final ChangePage page) {
    return page.rows().isEmpty() && era.isPresent() && era.getAsLong() == page.era();
  }

  private void recordPage(final ChangePage page, final FeedCall call) {
    schedule.recordPage(page, call, clock.nowMs());
    listener.onUpToDate(schedule.confirmedAtMs());
    version = call.kind() == CallKind.SNAPSHOT ? page.version() : Math.max(version, page.version());
    if (page.rows().isEmpty() && schedule.isShared()) {
      announce.run();
    }
  }

  /** Goes on with a snapshot, since the listener may have applied a part of the rows only. */
  private void onListenerFailure(final Throwable failure) {
    logger.atSevere().atMostEvery(FAILURE_LOG_INTERVAL_S, TimeUnit.SECONDS).withCause(failure).log(
        "applying the rows of table %s after version %d failed; reading a snapshot",
        table, version);
    snapshotRead = false;
    schedule.recordFailure();
    pollAfterRetryDelay();
  }

  private void onPage(final ChangePage page, final FeedCall call) {
    if (!reachable) {
      reachable = true;
      logger.atInfo().log(
          "table %s of the store is reachable again at version %d", table, page.version());
    }
    if (era.isPresent() && era.getAsLong() != page.era()) {
      onRestored(page, call);
      if (snapshotRead) {
        // The changes do not start from what was read in the earlier era.
        snapshotRead = false;
        poll();
        return;
      }
    }
    era = OptionalLong.of(page.era());
    recordPage(page, call);
    if (snapshotRead) {
      listener.onChanges(page.rows());
    } else {
      listener.onSnapshot(page.rows());
    }
    snapshotRead = true;
    retryDelayMs = PollTimings.INITIAL_RETRY_MS;
    if (page.rows().isEmpty()) {
      poll();
      return;
    }
    loop.schedule(
        () -> poll(),
        schedule.isShared() && call.kind() != CallKind.SNAPSHOT && listener.areLastChangesMinor()
            ? PollTimings.MINOR_BATCH_DELAY_MS
            : PollTimings.BATCH_DELAY_MS,
        TimeUnit.MILLISECONDS);
  }

  private void onRestored(final ChangePage page, final FeedCall call) {
    logger.atWarning().log(
        "the store was restored from an older copy: table %s was at version %d of era %d and is at"
            + " version %d of era %d",
        table, version, era.orElseThrow(), page.version(), page.era());
    era = OptionalLong.of(page.era());
    listener.onRestored(schedule.answeredUntilMs(call));
    schedule.recordRestoration();
  }

  private void onFailure(final Throwable failure, final FeedCall call) {
    if (failure instanceof HistoryLostException) {
      logger.atInfo().log(
          "the store dropped the changes of table %s after version %d; reading a snapshot",
          table, version);
      schedule.recordHistoryLost(call, clock.nowMs());
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
    schedule.recordFailure();
    listener.onUnreachable(schedule.answeredUntilMs(call));
    pollAfterRetryDelay();
  }

  private void pollAfterRetryDelay() {
    final long delayMs = retryDelayMs / 2 + ThreadLocalRandom.current().nextLong(retryDelayMs);
    retryDelayMs = Math.min(PollTimings.MAX_RETRY_MS, 2 * retryDelayMs);
    loop.schedule(() -> poll(), delayMs, TimeUnit.MILLISECONDS);
  }

  /** A call that is not answered yet. */
  private static final class PendingCall {

    private final FeedCall call;
    private final CompletableFuture<ChangePage> result;

    PendingCall(final FeedCall call, final CompletableFuture<ChangePage> result) {
      this.call = call;
      this.result = result;
    }
  }
}
