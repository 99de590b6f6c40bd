package org.bulrushweir.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.bulrushweir.api.AttemptKey;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.delivery.RefusalKind;

/**
 * Decides which attempts an endpoint accepts and which queued attempt runs next. Not thread-safe.
 *
 * <p>An attempt is accepted only if
 *
 * <ul>
 *   <li>the endpoint's load with it, its largest attempt not counted, does not exceed the allowed
 *       load, so that the load never exceeds the allowed one by more than one attempt;
 *   <li>its first token and those of all queued attempts that would run after it are expected
 *       before their deadlines, its own within {@link #USABLE_SHARE} of its time;
 *   <li>while slots are scarce, its organisation holds less than {@link #SHARE_FACTOR} times its
 *       share of the slots, or no attempt.
 * </ul>
 *
 * <p>A refusal is returned at once. Accepted attempts run in the order in which their first tokens
 * are due, skipping those for which no slot is free.
 */
public final class AdmissionController {

  /** The order in which queued attempts run. */
  private static final Comparator<WorkItem> ORDER =
      Comparator.comparingLong(WorkItem::startByMs)
          .thenComparingLong(WorkItem::arrivedMs)
          .thenComparing(item -> item.key().toString());

  /**
   * The fraction of the time until its deadline within which the first token of a new attempt must
   * be expected. At 1, one refusal in a hundred was sent only after the attempt had been queued for
   * 1.5 s.
   */
  private static final double USABLE_SHARE = 0.7;

  /**
   * The number of queued and running attempts, as a fraction of the slots, from which slots count
   * as scarce. A surge of one organisation increases the times to first token of the others by a
   * factor of 1.17 with a value of 0.5 and a {@link #SHARE_FACTOR} of 1.1, of 1.20 with 0.55 and
   * 1.15, and of 1.24 with 0.8 and 1.5. A share factor of 1 costs 4 % of the work that an
   * overloaded fleet completes.
   */
  private static final double SCARCE_SHARE = 0.5;

  /**
   * The multiple of its share of the slots that an organisation may hold with its queued and
   * running attempts while slots are scarce, at least one attempt.
   */
  private static final double SHARE_FACTOR = 1.1;

  /** The queued attempts in the order in which they run. */
  private final TreeSet<WorkItem> queue = new TreeSet<>(ORDER);

  /** The queued attempts by key. */
  private final Map<AttemptKey, WorkItem> queued = new HashMap<>();

  /** The running attempts by key. */
  private final Map<AttemptKey, RunningItem> running = new HashMap<>();

  /** The number of running attempts by organisation. */
  private final Map<OrganisationId, Integer> slotsHeld = new HashMap<>();

  /** The number of queued and running attempts by organisation. */
  private final Map<OrganisationId, Integer> attemptsHeld = new HashMap<>();

  /** Estimates how long attempts occupy their slots. */
  private final ServiceTimeEstimator estimator = new ServiceTimeEstimator();

  /** The settings in force. */
  private AdmissionSettings settings;

  /** Whether the endpoint is draining and refuses new attempts. */
  private boolean leaving;

  /** The estimated remaining work of all queued and running attempts, in work units. */
  private long load;

  /** The number of running attempts whose work class is not short. */
  private int longRunning;

  /**
   * Creates the controller of an idle endpoint.
   *
   * @param settings the initial settings
   */
  public AdmissionController(final AdmissionSettings settings) {
    this.settings = settings;
  }

  /**
   * Replaces the settings.
   *
   * @param newSettings the new settings
   */
  public void reconfigure(final AdmissionSettings newSettings) {
    settings = newSettings;
  }

  /**
   * Sets whether the endpoint is draining.
   *
   * @param newLeaving true to refuse all new attempts, false to accept them again
   */
  public void setLeaving(final boolean newLeaving) {
    leaving = newLeaving;
  }

  /**
   * Returns whether the endpoint is draining.
   *
   * @return true if all new attempts are refused
   */
  public boolean isLeaving() {
    return leaving;
  }

  /**
   * Returns the endpoint's load: the estimated remaining work of all queued and running attempts.
   *
   * @return the load in work units
   */
  public long load() {
    return load;
  }

  /**
   * Returns the remaining work of the largest queued or running attempt.
   *
   * @return the work in work units, zero if there is no attempt
   */
  public long largestWork() {
    long largest = 0;
    for (final WorkItem item : queue) {
      largest = Math.max(largest, item.cost());
    }
    for (final RunningItem item : running.values()) {
      largest = Math.max(largest, item.remaining());
    }
    return largest;
  }

  /**
   * Returns whether any attempt is running.
   *
   * @return true if at least one slot is occupied
   */
  public boolean isRunning() {
    return !running.isEmpty();
  }

  /**
   * Returns whether the endpoint is processing a prompt (prefill).
   *
   * @return true if a running attempt has not produced its first token yet
   */
  public boolean isPrefilling() {
    return running.values().stream().anyMatch(item -> !item.hasFirstToken());
  }

  /**
   * Returns the number of queued and running attempts.
   *
   * @return the number of attempts
   */
  public int inFlight() {
    return queued.size() + running.size();
  }

  /**
   * Accepts an attempt into the queue or refuses it.
   *
   * @param item the attempt
   * @param allowedLoad the load that the endpoint may have, in work units, infinite for no limit
   * @return the decision; a refusal has the reason and the time after which a retry may succeed
   */
  public AdmissionDecision offer(final WorkItem item, final double allowedLoad) {
    if (leaving) {
      return new AdmissionDecision.Refused(RefusalKind.LEAVING, 0, null, 0);
    }
    final double expectedMs = expectedFirstTokenInMs(item);
    if (load + item.cost() - Math.max(item.cost(), largestWork()) > allowedLoad) {
      return refused(RefusalKind.OVERLOADED, expectedMs);
    }
    if (isScarce() && exceedsShare(item.organisation())) {
      return refused(RefusalKind.RATE_LIMITED, expectedMs);
    }
    if (expectedMs == Double.POSITIVE_INFINITY) {
      return refused(RefusalKind.DEADLINE_UNREACHABLE, queueWaitMs());
    }
    queue.add(item);
    queued.put(item.key(), item);
    attemptsHeld.merge(item.organisation(), 1, Integer::sum);
    load += item.cost();
    return new AdmissionDecision.Admitted(Math.round(expectedMs));
  }

  private AdmissionDecision refused(final RefusalKind kind, final double retryAfterMs) {
    final long finiteMs =
        Double.isInfinite(retryAfterMs) ? queueWaitMs() : Math.round(retryAfterMs);
    return new AdmissionDecision.Refused(kind, finiteMs, null, 0);
  }

  /**
   * Returns the estimated time until the first token of an attempt, in milliseconds, infinite if
   * that token would come after {@link #USABLE_SHARE} of its time or one of a queued attempt behind
   * it would miss its deadline.
   */
  private double expectedFirstTokenInMs(final WorkItem item) {
    final SlotSchedule schedule = new SlotSchedule(settings, running.values(), estimator);
    double ownMs = 0;
    boolean placed = false;
    for (final WorkItem other : queue) {
      if (!placed && ORDER.compare(item, other) < 0) {
        ownMs = schedule.firstTokenInMs(item);
        placed = true;
      }
      final double otherMs = schedule.firstTokenInMs(other);
      if (placed && item.arrivedMs() + otherMs > other.startByMs()) {
        return Double.POSITIVE_INFINITY;
      }
    }
    if (!placed) {
      ownMs = schedule.firstTokenInMs(item);
    }
    final double usableMs = USABLE_SHARE * (item.startByMs() - item.arrivedMs());
    return ownMs > usableMs ? Double.POSITIVE_INFINITY : ownMs;
  }

  /** Returns the estimated time until every queued attempt has its first token, in milliseconds. */
  private long queueWaitMs() {
    final SlotSchedule schedule = new SlotSchedule(settings, running.values(), estimator);
    double lastMs = 0;
    for (final WorkItem item : queue) {
      lastMs = Math.max(lastMs, schedule.firstTokenInMs(item));
    }
    return Math.round(lastMs);
  }

  private boolean isScarce() {
    return inFlight() >= settings.slots() * SCARCE_SHARE;
  }

  private boolean exceedsShare(final OrganisationId organisation) {
    double weights = settings.share(organisation).weight();
    for (final Map.Entry<OrganisationId, Integer> held : attemptsHeld.entrySet()) {
      if (!held.getKey().equals(organisation)) {
        weights += settings.share(held.getKey()).weight();
      }
    }
    final double share = settings.share(organisation).weight() / weights;
    final double allowed = Math.max(1, SHARE_FACTOR * share * settings.slots());
    return share < 1 && attemptsHeld.getOrDefault(organisation, 0) >= allowed;
  }

  /**
   * Moves the next attempt from the queue to the running ones, if a slot is free for it.
   *
   * @param nowMs the current time of the sidecar's clock, in milliseconds
   * @return the attempt to start, empty if none is queued or no slot is free for those that are
   */
  public Optional<WorkItem> startNext(final long nowMs) {
    if (running.size() >= settings.slots()) {
      return Optional.empty();
    }
    for (final WorkItem item : queue) {
      if (hasSlotFor(item)) {
        start(item, nowMs);
        return Optional.of(item);
      }
    }
    return Optional.empty();
  }

  private boolean hasSlotFor(final WorkItem item) {
    final int held = slotsHeld.getOrDefault(item.organisation(), 0);
    if (held >= settings.maximumSlots(item.organisation())) {
      return false;
    }
    return item.workClass().shortWork()
        || longRunning < settings.slots() - settings.reservedSlots();
  }

  private void start(final WorkItem item, final long nowMs) {
    queue.remove(item);
    queued.remove(item.key());
    running.put(item.key(), new RunningItem(item, nowMs));
    slotsHeld.merge(item.organisation(), 1, Integer::sum);
    if (!item.workClass().shortWork()) {
      longRunning++;
    }
  }

  /**
   * Records that a running attempt has generated a token. Ignored if the attempt is not running.
   *
   * @param key the attempt
   * @param intervalMs the time since the answer's previous token, in milliseconds, zero for the
   *     first token
   * @param nowMs the current time of the sidecar's clock, in milliseconds
   */
  public void recordToken(final AttemptKey key, final double intervalMs, final long nowMs) {
    final RunningItem item = running.get(key);
    if (item == null) {
      return;
    }
    if (item.hasFirstToken()) {
      estimator.recordToken(intervalMs);
    } else {
      estimator.recordPrompt(item.item().promptCost(), nowMs - item.startedMs());
    }
    load -= item.advance();
  }

  /**
   * Records that a running attempt has ended, and frees its slot. Ignored if the attempt is not
   * running.
   *
   * @param key the attempt
   * @param nowMs the current time of the sidecar's clock, in milliseconds
   */
  public void finish(final AttemptKey key, final long nowMs) {
    final RunningItem ended = running.remove(key);
    if (ended == null) {
      return;
    }
    final WorkItem item = ended.item();
    if (!ended.hasFirstToken()) {
      // Without any token, the whole running time is recorded like that of a call.
      estimator.recordCall(item.cost(), nowMs - ended.startedMs());
    }
    load -= ended.remaining();
    decrement(attemptsHeld, item.organisation());
    decrement(slotsHeld, item.organisation());
    if (!item.workClass().shortWork()) {
      longRunning--;
    }
  }

  private static void decrement(
      final Map<OrganisationId, Integer> held, final OrganisationId organisation) {
    held.computeIfPresent(organisation, (key, count) -> count == 1 ? null : count - 1);
  }

  /**
   * Removes an attempt from the queue.
   *
   * @param key the attempt
   * @return true if it was queued, so that it will not run
   */
  public boolean cancelQueued(final AttemptKey key) {
    final WorkItem item = queued.remove(key);
    if (item == null) {
      return false;
    }
    queue.remove(item);
    load -= item.cost();
    decrement(attemptsHeld, item.organisation());
    return true;
  }

  /**
   * Removes from the queue the attempts whose first-token deadline has passed.
   *
   * @param nowMs the current time of the sidecar's clock, in milliseconds
   * @return the removed attempts, which will not run, empty if there are none
   */
  public List<WorkItem> expire(final long nowMs) {
    final List<WorkItem> expired = queue.stream().filter(item -> nowMs > item.startByMs()).toList();
    expired.forEach(item -> cancelQueued(item.key()));
    return expired;
  }
}
