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
 * Decides which attempts an endpoint accepts and which one runs next. Not safe for use by many
 * threads.
 *
 * <p>An attempt is accepted only if the endpoint then carries no more than it may, its largest
 * attempt left out, so that it never carries more than that plus one attempt; if its first token
 * and those of all attempts that are queued already are expected in time; and, while slots are
 * scarce, if its organisation does not hold more than its share. Whoever is refused is told at
 * once. Accepted attempts run in the order in which their first tokens are due.
 */
public final class AdmissionController {

  /** The order in which queued attempts run. */
  private static final Comparator<WorkItem> ORDER =
      Comparator.comparingLong(WorkItem::startByMs)
          .thenComparingLong(WorkItem::arrivedMs)
          .thenComparing(item -> item.key().toString());

  /**
   * The share of the time to the first token within which it must be expected. With the whole time,
   * one refusal in a hundred came only after the attempt had been queued for 1.5 s.
   */
  private static final double USABLE_SHARE = 0.7;

  /**
   * From which share of its slots on, taken or waited for, an endpoint is scarce. At 0.8 with
   * shares taken 1.5 times, the others' first tokens came 1.24 times as late while one organisation
   * surged; at 0.55 with shares taken 1.15 times, 1.20 times; at 0.5 with 1.1 times, 1.17 times.
   * Shares taken just once cost 4 % of the work that an overloaded fleet does.
   */
  private static final double SCARCE_SHARE = 0.5;

  /** How many times its share of the slots an organisation may hold, running or queued. */
  private static final double SHARE_FACTOR = 1.1;

  /** The queued attempts in the order in which they run. */
  private final TreeSet<WorkItem> queue = new TreeSet<>(ORDER);

  /** The queued attempts by key. */
  private final Map<AttemptKey, WorkItem> queued = new HashMap<>();

  /** The running attempts by key. */
  private final Map<AttemptKey, RunningItem> running = new HashMap<>();

  /** How many attempts of each organisation run. */
  private final Map<OrganisationId, Integer> slotsHeld = new HashMap<>();

  /** How many attempts of each organisation are queued or running. */
  private final Map<OrganisationId, Integer> attemptsHeld = new HashMap<>();

  /** Measures how long the endpoint takes. */
  private final ServiceTimeEstimator estimator = new ServiceTimeEstimator();

  /** The settings. */
  private AdmissionSettings settings;

  /** Whether no new attempts are taken. */
  private boolean leaving;

  /** The work that is queued or running, in work units. */
  private long load;

  /** How many attempts that are not short run. */
  private int longRunning;

  /**
   * Creates the controller of an idle endpoint.
   *
   * @param settings the settings
   */
  public AdmissionController(final AdmissionSettings settings) {
    this.settings = settings;
  }

  /**
   * Changes the settings.
   *
   * @param newSettings the settings from now on
   */
  public void reconfigure(final AdmissionSettings newSettings) {
    settings = newSettings;
  }

  /**
   * Says whether the endpoint takes new attempts.
   *
   * @param newLeaving true to refuse all new attempts from now on
   */
  public void setLeaving(final boolean newLeaving) {
    leaving = newLeaving;
  }

  /**
   * Tells whether the endpoint is leaving.
   *
   * @return true if it takes no new attempts
   */
  public boolean isLeaving() {
    return leaving;
  }

  /**
   * Returns the work that the endpoint carries, queued or running.
   *
   * @return the load in work units
   */
  public long load() {
    return load;
  }

  /**
   * Returns what is left of the largest attempt that is queued or running.
   *
   * @return the work in work units, zero if there is none
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
   * Tells whether any attempt is running.
   *
   * @return true if a slot is taken
   */
  public boolean isRunning() {
    return !running.isEmpty();
  }

  /**
   * Tells whether the endpoint is reading a prompt.
   *
   * @return true if a running attempt has not generated a token yet
   */
  public boolean isReadingPrompts() {
    return running.values().stream().anyMatch(item -> !item.hasBegun());
  }

  /**
   * Counts the attempts that are queued or running.
   *
   * @return the number of attempts
   */
  public int inFlight() {
    return queued.size() + running.size();
  }

  /**
   * Offers an attempt.
   *
   * @param item the attempt
   * @param allowedLoad how much work the endpoint may carry, in work units
   * @return whether it is accepted
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
      return refused(RefusalKind.DEADLINE_UNREACHABLE, waitMs());
    }
    queue.add(item);
    queued.put(item.key(), item);
    attemptsHeld.merge(item.organisation(), 1, Integer::sum);
    load += item.cost();
    return new AdmissionDecision.Admitted(Math.round(expectedMs));
  }

  private AdmissionDecision refused(final RefusalKind kind, final double retryAfterMs) {
    final long finiteMs = Double.isInfinite(retryAfterMs) ? waitMs() : Math.round(retryAfterMs);
    return new AdmissionDecision.Refused(kind, finiteMs, null, 0);
  }

  /**
   * Estimates when the first token of an attempt comes, infinite if it or that of an attempt that
   * is queued already would come too late.
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

  /** Estimates when the queue will have been worked off, in milliseconds. */
  private long waitMs() {
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
   * Takes the attempt that is to run next, if a slot is free for it.
   *
   * @param nowMs the current time
   * @return the attempt, which counts as running from now on
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
   * Takes note that a running attempt has generated a token.
   *
   * @param key the attempt
   * @param intervalMs how long it took since the one before it, zero for the first one
   * @param nowMs the current time
   */
  public void recordToken(final AttemptKey key, final double intervalMs, final long nowMs) {
    final RunningItem item = running.get(key);
    if (item == null) {
      return;
    }
    if (item.hasBegun()) {
      estimator.recordToken(intervalMs);
    } else {
      estimator.recordPrompt(item.item().promptCost(), nowMs - item.startedMs());
    }
    load -= item.progress();
  }

  /**
   * Takes note that a running attempt has ended.
   *
   * @param key the attempt
   * @param nowMs the current time
   */
  public void finish(final AttemptKey key, final long nowMs) {
    final RunningItem ended = running.remove(key);
    if (ended == null) {
      return;
    }
    final WorkItem item = ended.item();
    if (!ended.hasBegun()) {
      estimator.recordCall(item.cost(), nowMs - ended.startedMs());
    }
    load -= ended.remaining();
    release(attemptsHeld, item.organisation());
    release(slotsHeld, item.organisation());
    if (!item.workClass().shortWork()) {
      longRunning--;
    }
  }

  private static void release(
      final Map<OrganisationId, Integer> held, final OrganisationId organisation) {
    held.computeIfPresent(organisation, (key, count) -> count == 1 ? null : count - 1);
  }

  /**
   * Takes an attempt out of the queue.
   *
   * @param key the attempt
   * @return true if it was queued and will not run
   */
  public boolean cancelQueued(final AttemptKey key) {
    final WorkItem item = queued.remove(key);
    if (item == null) {
      return false;
    }
    queue.remove(item);
    load -= item.cost();
    release(attemptsHeld, item.organisation());
    return true;
  }

  /**
   * Takes out of the queue what can no longer start in time.
   *
   * @param nowMs the current time
   * @return the attempts, which will not run
   */
  public List<WorkItem> expire(final long nowMs) {
    final List<WorkItem> expired = queue.stream().filter(item -> nowMs > item.startByMs()).toList();
    expired.forEach(item -> cancelQueued(item.key()));
    return expired;
  }
}
