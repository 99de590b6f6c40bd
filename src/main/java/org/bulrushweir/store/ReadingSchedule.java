package org.bulrushweir.store;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;
import org.bulrushweir.api.NodeId;

/**
 * Decides how a gateway reads a table of the store: how long its polls wait, whether a waiting poll
 * is to be abandoned, and since when the table is known to be up to date.
 *
 * <p>Gateways that share their readings let their polls wait long and confirm each other's tables.
 * The state of a table that a peer has read from the store at some time confirms every gateway that
 * has read at least as far, as of that time, since the store's answers are linearizable. A gateway
 * whose confirmation has become old asks the store itself on a new connection. The age of the
 * confirmation alone decides on that, so a peer that dies, freezes or lies behind delays nothing.
 */
public final class ReadingSchedule {

  /**
   * The wait of the polls of a gateway without peers, in milliseconds. A connection that has gone
   * silent shows only when such a poll is not answered in time.
   */
  public static final long LONE_WAIT_MS = 1_400;

  /**
   * The time that a waiting poll has to deliver a change which a peer has read, in milliseconds:
   * more than the answers to polls of one change differ while the store answers normally.
   */
  public static final long ANSWER_GRACE_MS = 250;

  /** The longest wait, in milliseconds; the store keeps changes for 20 s at most. */
  static final long MAX_WAIT_MS = 15_000;

  /** The time after the last report of a peer for which there are peers, in milliseconds. */
  static final long PEER_ACTIVE_MS = 1_000;

  /**
   * The age of the confirmation from which a gateway may ask the store itself, in milliseconds. The
   * first gateway of a fleet to do so notices a change at about this age, the others by its report
   * and {@link #ANSWER_GRACE_MS}.
   */
  static final long MIN_PROBE_AGE_MS = 700;

  /**
   * The age of the confirmation at which every gateway asks the store itself, in milliseconds. With
   * a lost call, 0.7 s, a configuration is still read within 2 s. The range up to here spreads the
   * gateways, so that the first one's report spares most of the others the call.
   */
  static final long MAX_PROBE_AGE_MS = 1_200;

  /** The time for which a peer that the store has contradicted is ignored, in milliseconds. */
  static final long DISTRUST_MS = 5_000;

  /**
   * The time between two ticks from which this process counts as having been held up, in
   * milliseconds. Reports that have arrived meanwhile are older than they state.
   */
  static final long STALL_MS = 400;

  /** The time after having been held up for which reports are not believed, in milliseconds. */
  static final long STALL_SETTLE_MS = 300;

  /** The shortest wait beside peers as a share of the longest, so that polls end at odd times. */
  private static final double MIN_WAIT_SHARE = 0.7;

  /** The growth of the longest wait with each poll that waited to its end, in milliseconds. */
  private static final long WAIT_GROWTH_MS = 1_000;

  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  private final boolean shared;
  private final DoubleSupplier random;
  private final Map<NodeId, Long> distrustedUntilMs = new HashMap<>();
  private OptionalLong era = OptionalLong.empty();
  private long version;
  private long changeVersion;
  private boolean interrupted;
  private long toldAtMs = NEVER_MS;
  private long confirmedAtMs = NEVER_MS;
  private long probeAgeMs = MAX_PROBE_AGE_MS;
  private long lastPeerHeardMs = NEVER_MS;
  private long lastTickMs = NEVER_MS;
  private long believedFromMs = NEVER_MS;
  private Optional<Claim> newerVersion = Optional.empty();
  private Optional<Claim> otherEra = Optional.empty();
  private long refutedEra;
  private long refutedEraUntilMs = NEVER_MS;
  private long maxWaitMs = MAX_WAIT_MS;
  private long waitMs = LONE_WAIT_MS;

  /**
   * Creates a schedule.
   *
   * @param shared whether peers' readings are used; otherwise polls wait {@link #LONE_WAIT_MS}
   * @param random supplies numbers from 0 to 1, by which gateways avoid calls in step
   */
  public ReadingSchedule(final boolean shared, final DoubleSupplier random) {
    this.shared = shared;
    this.random = random;
  }

  /**
   * Returns whether peers' readings are used.
   *
   * @return false if every gateway reads for itself
   */
  public boolean isShared() {
    return shared;
  }

  /**
   * Chooses the wait of the next poll.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the wait in milliseconds, zero if the store may have been restored
   */
  public long nextWaitMs(final long nowMs) {
    if (otherEra.isPresent()) {
      return 0;
    }
    final double share = MIN_WAIT_SHARE + (1 - MIN_WAIT_SHARE) * random.getAsDouble();
    waitMs = hasPeers(nowMs) ? Math.max(LONE_WAIT_MS, (long) (share * maxWaitMs)) : LONE_WAIT_MS;
    return waitMs;
  }

  /**
   * Returns the wait that was chosen last.
   *
   * @return the wait in milliseconds
   */
  public long waitMs() {
    return waitMs;
  }

  private boolean hasPeers(final long nowMs) {
    return shared && nowMs - lastPeerHeardMs <= PEER_ACTIVE_MS;
  }

  /**
   * Records that this process runs; to be called several times within {@link #STALL_MS}.
   *
   * @param nowMs the current time, in Unix milliseconds
   */
  public void tick(final long nowMs) {
    if (isStalled(nowMs)) {
      believedFromMs = nowMs + STALL_SETTLE_MS;
    }
    lastTickMs = nowMs;
    distrustedUntilMs.values().removeIf(untilMs -> nowMs >= untilMs);
  }

  private boolean isStalled(final long nowMs) {
    return nowMs - lastTickMs > STALL_MS;
  }

  /**
   * Decides what to do about a waiting poll while no probe is sent.
   *
   * @param poll the poll
   * @param nowMs the current time, in Unix milliseconds
   * @return what to do
   */
  public PollAction check(final FeedCall poll, final long nowMs) {
    final long waitedMs = nowMs - poll.startedMs();
    if (!shared || poll.kind() != CallKind.POLL || poll.waitMs() == 0) {
      return PollAction.KEEP;
    }
    if (otherEra.isPresent()) {
      return PollAction.ABANDON_OTHER_ERA;
    }
    if (newerVersion.isPresent()
        && nowMs - newerVersion.get().sinceMs() >= ANSWER_GRACE_MS
        && waitedMs >= ANSWER_GRACE_MS) {
      return PollAction.ABANDON_PEER_AHEAD;
    }
    if (!hasPeers(nowMs)) {
      return poll.waitMs() > LONE_WAIT_MS && waitedMs > LONE_WAIT_MS
          ? PollAction.ABANDON_PEERS_SILENT
          : PollAction.KEEP;
    }
    final long dueMs = poll.startedMs() + poll.waitMs();
    if (nowMs - dueMs > ANSWER_GRACE_MS && confirmedAtMs >= dueMs) {
      return PollAction.ABANDON_OVERDUE;
    }
    return nowMs - confirmedAtMs >= probeAgeMs ? PollAction.PROBE : PollAction.KEEP;
  }

  /**
   * Records an answer of the store.
   *
   * @param page the answer
   * @param call the call that it answers
   * @param nowMs the current time, in Unix milliseconds
   */
  public void recordPage(final ChangePage page, final FeedCall call, final long nowMs) {
    if (era.isEmpty() || era.getAsLong() != page.era()) {
      toldAtMs = NEVER_MS;
      confirmedAtMs = NEVER_MS;
      version = 0;
    }
    changeVersion = call.kind() == CallKind.SNAPSHOT ? page.version() : newestChange(page);
    era = OptionalLong.of(page.era());
    version = call.kind() == CallKind.SNAPSHOT ? page.version() : Math.max(version, page.version());
    interrupted = false;
    newerVersion = newerVersion.flatMap(claim -> settleVersion(claim, call, nowMs));
    otherEra = otherEra.flatMap(claim -> settleEra(claim, call, nowMs));
    toldAtMs = Math.max(toldAtMs, toldAtMs(page, call, nowMs));
    confirm(hasPeers(nowMs) ? toldAtMs : nowMs);
    if (page.rows().isEmpty() && call.waitMs() > LONE_WAIT_MS) {
      maxWaitMs = Math.min(MAX_WAIT_MS, maxWaitMs + WAIT_GROWTH_MS);
    }
  }

  /**
   * Returns the version of the newest change. The versions of answers may also count changes of
   * other tables; those of rows are used only if they are plausible as versions of the store.
   */
  private long newestChange(final ChangePage page) {
    if (page.rows().isEmpty()) {
      return changeVersion;
    }
    final boolean plausible =
        page.rows().stream()
            .allMatch(row -> row.version() > version && row.version() <= page.version());
    return plausible
        ? page.rows().stream().mapToLong(RowChange::version).max().orElseThrow()
        : page.version();
  }

  /**
   * Returns a time at or after which the store has made an answer; the answer may have been on its
   * way for as long as the poll waits.
   */
  private static long toldAtMs(final ChangePage page, final FeedCall call, final long nowMs) {
    return page.rows().isEmpty()
        ? Math.min(nowMs, call.startedMs() + call.waitMs())
        : call.startedMs();
  }

  /** Returns the claim if the answer does not settle it. */
  private Optional<Claim> settleVersion(final Claim claim, final FeedCall call, final long nowMs) {
    if (claim.era() != era.orElseThrow() || version >= claim.version()) {
      return Optional.empty();
    }
    if (call.startedMs() < claim.heardMs()) {
      return Optional.of(claim);
    }
    distrustedUntilMs.put(claim.peer(), nowMs + DISTRUST_MS);
    return Optional.empty();
  }

  private Optional<Claim> settleEra(final Claim claim, final FeedCall call, final long nowMs) {
    if (claim.era() == era.orElseThrow()) {
      return Optional.empty();
    }
    if (call.startedMs() < claim.heardMs()) {
      return Optional.of(claim);
    }
    refutedEra = claim.era();
    refutedEraUntilMs = nowMs + DISTRUST_MS;
    return Optional.empty();
  }

  private boolean confirm(final long asOfMs) {
    if (asOfMs <= confirmedAtMs) {
      return false;
    }
    confirmedAtMs = asOfMs;
    probeAgeMs =
        MIN_PROBE_AGE_MS + (long) (random.getAsDouble() * (MAX_PROBE_AGE_MS - MIN_PROBE_AGE_MS));
    return true;
  }

  /** Records that a call has failed; peers confirm nothing until the store answers again. */
  public void recordFailure() {
    interrupted = true;
  }

  /**
   * Records that the store no longer holds the changes after the version read. If the poll has
   * waited long, the next ones wait less.
   *
   * @param call the call that was answered so
   * @param nowMs the current time, in Unix milliseconds
   */
  public void recordHistoryLost(final FeedCall call, final long nowMs) {
    interrupted = true;
    final long waitedMs = nowMs - call.startedMs();
    if (waitedMs > LONE_WAIT_MS) {
      maxWaitMs = Math.max(LONE_WAIT_MS, Math.min(maxWaitMs, waitedMs / 2));
    }
  }

  /** Records that the store was restored; nothing is confirmed until the table is read again. */
  public void recordRestoration() {
    era = OptionalLong.empty();
    newerVersion = Optional.empty();
    otherEra = Optional.empty();
  }

  /**
   * Applies a peer's reading.
   *
   * @param peer the peer
   * @param reading its reading
   * @param nowMs the current time, in Unix milliseconds
   * @return true if {@link #confirmedAtMs} has advanced
   */
  public boolean hear(final NodeId peer, final PeerReading reading, final long nowMs) {
    if (!shared || isStalled(nowMs) || nowMs < believedFromMs || isDistrusted(peer, nowMs)) {
      return false;
    }
    final boolean known = era.isPresent() && !interrupted;
    if (known && reading.era() != era.getAsLong()) {
      if (reading.era() != refutedEra || nowMs >= refutedEraUntilMs) {
        otherEra = Optional.of(claim(otherEra, peer, reading, nowMs));
      }
      return false;
    }
    lastPeerHeardMs = nowMs;
    if (known && reading.version() > version) {
      newerVersion = Optional.of(claim(newerVersion, peer, reading, nowMs));
      return false;
    }
    return known && confirm(nowMs - reading.ageMs());
  }

  private boolean isDistrusted(final NodeId peer, final long nowMs) {
    return nowMs < distrustedUntilMs.getOrDefault(peer, NEVER_MS);
  }

  /** Replaces the earlier claim unless it says as much; the time since the first one counts on. */
  private static Claim claim(
      final Optional<Claim> earlier,
      final NodeId peer,
      final PeerReading reading,
      final long nowMs) {
    final boolean covered =
        earlier.isPresent()
            && earlier.get().era() == reading.era()
            && earlier.get().version() >= reading.version();
    return covered
        ? earlier.get()
        : new Claim(
            peer,
            reading.era(),
            reading.version(),
            earlier.map(Claim::sinceMs).orElse(nowMs),
            nowMs);
  }

  /**
   * Returns this gateway's reading, for its peers. It counts only what the store has told this
   * gateway itself: confirmations that are passed on would seem younger with each step.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the reading, empty before the table was read
   */
  public Optional<PeerReading> own(final long nowMs) {
    return !shared || era.isEmpty()
        ? Optional.empty()
        : Optional.of(new PeerReading(era.getAsLong(), changeVersion, nowMs - toldAtMs));
  }

  /**
   * Returns the time as of which the table is known to be up to date.
   *
   * @return the time in Unix milliseconds
   */
  public long confirmedAtMs() {
    return confirmedAtMs;
  }

  /**
   * Returns the earliest time at which the store may have stopped to answer, or was restored, if a
   * call has shown it: a poll may have been waiting long before that.
   *
   * @param call the call
   * @return the time in Unix milliseconds
   */
  public long answeredUntilMs(final FeedCall call) {
    return shared ? Math.max(call.startedMs(), confirmedAtMs) : call.startedMs();
  }

  /**
   * What a peer has read, and this gateway has not.
   *
   * @param peer the peer
   * @param era the store's era
   * @param version the version
   * @param sinceMs when a peer was first heard to be ahead, in Unix milliseconds
   * @param heardMs when this version was first heard, in Unix milliseconds
   */
  private record Claim(NodeId peer, long era, long version, long sinceMs, long heardMs) {}
}
