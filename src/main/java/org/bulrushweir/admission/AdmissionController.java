package org.bulrushweir.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.bulrushweir.api.AttemptKey;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.declaration.WorkClass;
import org.bulrushweir.delivery.RefusalKind;

/**
 * Decides which attempts an endpoint accepts and which one runs next. Not safe for use by many
 * threads.
 *
 * <p>An attempt is accepted only if the endpoint then carries no more than it may, its largest
 * attempt left out, so that it never carries more than that plus one attempt. Among the accepted
 * ones, classes go by priority, waiting attempts gain priority with time, and organisations within
 * a class share by weight.
 */
public final class AdmissionController {

  private static final long PRIORITY_STEP_MS = 2_000;

  private final Map<String, FairQueue> queues = new TreeMap<>();
  private final Map<String, WorkClass> classes = new HashMap<>();
  private final Map<AttemptKey, WorkItem> queued = new HashMap<>();
  private final Map<AttemptKey, RunningItem> running = new HashMap<>();
  private final Map<OrganisationId, Integer> slotsHeld = new HashMap<>();
  private final ServiceRate rate = new ServiceRate();
  private AdmissionSettings settings;
  private boolean leaving;
  private long load;
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
  public void leaving(final boolean newLeaving) {
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
    for (final WorkItem item : queued.values()) {
      largest = Math.max(largest, item.cost());
    }
    for (final RunningItem item : running.values()) {
      largest = Math.max(largest, item.remaining());
    }
    return largest;
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
   * Takes note that a running attempt has generated a token.
   *
   * @param key the attempt
   * @param nowMs the current time
   */
  public void progress(final AttemptKey key, final long nowMs) {
    final RunningItem item = running.get(key);
    if (item == null) {
      return;
    }
    if (!item.hasBegun()) {
      rate.recordPrompt(item.item().promptCost(), nowMs - item.startedMs());
    }
    load -= item.progress();
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
    if (load + item.cost() - Math.max(item.cost(), largestWork()) > allowedLoad) {
      return new AdmissionDecision.Refused(RefusalKind.OVERLOADED, estimatedWaitMs(item), null, 0);
    }
    final long waitMs = estimatedWaitMs(item);
    if (item.arrivedMs() + waitMs > item.startByMs()) {
      return new AdmissionDecision.Refused(RefusalKind.DEADLINE_UNREACHABLE, waitMs, null, 0);
    }
    classes.put(item.workClass().name(), item.workClass());
    queues.computeIfAbsent(item.workClass().name(), name -> new FairQueue()).add(item);
    queued.put(item.key(), item);
    load += item.cost();
    return new AdmissionDecision.Admitted(waitMs + rate.promptMs(item.promptCost()));
  }

  private long estimatedWaitMs(final WorkItem item) {
    if (running.size() < settings.slots()) {
      return 0;
    }
    double ahead = 0;
    for (final RunningItem other : running.values()) {
      ahead += other.remaining();
    }
    for (final Map.Entry<String, FairQueue> entry : queues.entrySet()) {
      if (classes.get(entry.getKey()).priority() <= item.workClass().priority()) {
        ahead += entry.getValue().queuedCost();
      }
    }
    return Math.round(ahead * rate.unitMs() / settings.slots());
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
    final Optional<WorkItem> next =
        queues.values().stream()
            .map(queue -> queue.peek(this::mayHoldAnotherSlot))
            .flatMap(Optional::stream)
            .filter(this::hasSlotFor)
            .min(
                Comparator.comparingLong((WorkItem item) -> urgency(item, nowMs))
                    .thenComparing(item -> item.workClass().name()));
    next.ifPresent(item -> start(item, nowMs));
    return next;
  }

  private boolean mayHoldAnotherSlot(final OrganisationId organisation) {
    return slotsHeld.getOrDefault(organisation, 0) < settings.maximumSlots(organisation);
  }

  private boolean hasSlotFor(final WorkItem item) {
    return item.workClass().shortWork()
        || longRunning < settings.slots() - settings.reservedSlots();
  }

  private static long urgency(final WorkItem item, final long nowMs) {
    final long waitedMs = nowMs - item.arrivedMs();
    return item.workClass().priority() * PRIORITY_STEP_MS - waitedMs;
  }

  private void start(final WorkItem item, final long nowMs) {
    queues.get(item.workClass().name()).take(item, settings.share(item.organisation()).weight());
    queued.remove(item.key());
    running.put(item.key(), new RunningItem(item, nowMs));
    slotsHeld.merge(item.organisation(), 1, Integer::sum);
    if (!item.workClass().shortWork()) {
      longRunning++;
    }
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
    rate.record(item.cost(), nowMs - ended.startedMs());
    load -= ended.remaining();
    slotsHeld.merge(item.organisation(), -1, Integer::sum);
    if (!item.workClass().shortWork()) {
      longRunning--;
    }
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
    queues.get(item.workClass().name()).remove(item);
    load -= item.cost();
    return true;
  }

  /**
   * Takes out of the queue what can no longer start in time.
   *
   * @param nowMs the current time
   * @return the attempts, which will not run
   */
  public List<WorkItem> expire(final long nowMs) {
    final List<WorkItem> expired = new ArrayList<>();
    queues.values().forEach(queue -> expired.addAll(queue.overdue(nowMs)));
    expired.forEach(item -> cancelQueued(item.key()));
    return expired;
  }
}
