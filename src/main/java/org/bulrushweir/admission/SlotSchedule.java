package org.bulrushweir.admission;

import java.util.Collection;
import java.util.PriorityQueue;

/**
 * Estimates when queued attempts will start, by assigning each in turn to the slot that becomes
 * free first. Long work may occupy only the slots that are not reserved for short work.
 */
final class SlotSchedule {

  /** The time until each slot becomes free, in milliseconds. */
  private final PriorityQueue<Double> allSlots = new PriorityQueue<>();

  /** The time until each slot that long work may occupy becomes free, in milliseconds. */
  private final PriorityQueue<Double> longSlots = new PriorityQueue<>();

  /** Estimates how long attempts occupy their slots. */
  private final ServiceTimeEstimator estimator;

  /**
   * Creates a schedule that contains the running attempts.
   *
   * @param settings has the number of slots and of reserved slots
   * @param running the running attempts
   * @param estimator estimates how long attempts occupy their slots
   */
  SlotSchedule(
      final AdmissionSettings settings,
      final Collection<RunningItem> running,
      final ServiceTimeEstimator estimator) {
    this.estimator = estimator;
    for (final RunningItem item : running) {
      final double freeMs = item.remainingMs(estimator);
      allSlots.add(freeMs);
      if (!item.item().workClass().shortWork()) {
        longSlots.add(freeMs);
      }
    }
    fill(allSlots, settings.slots());
    fill(longSlots, settings.slots() - settings.reservedSlots());
  }

  /**
   * Adds free slots up to a number, or removes those that become free first if there are more, as
   * after the number of slots was reduced.
   */
  private static void fill(final PriorityQueue<Double> slots, final int count) {
    while (slots.size() < count) {
      slots.add(0.0);
    }
    while (slots.size() > count) {
      slots.poll();
    }
  }

  /**
   * Assigns an attempt to the slot that becomes free first.
   *
   * @param item the attempt
   * @return the estimated time until its first token, in milliseconds
   */
  double firstTokenInMs(final WorkItem item) {
    final boolean isLong = !item.workClass().shortWork();
    double startMs = allSlots.poll();
    if (isLong) {
      startMs = Math.max(startMs, longSlots.poll());
    }
    final double promptMs = estimator.promptMs(item.promptCost());
    final double endMs = startMs + promptMs + estimator.outputMs(item.outputCost());
    allSlots.add(endMs);
    if (isLong) {
      longSlots.add(endMs);
    }
    return startMs + promptMs;
  }
}
