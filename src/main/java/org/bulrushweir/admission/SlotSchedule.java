package org.bulrushweir.admission;

import java.util.Collection;
import java.util.PriorityQueue;

/**
 * Estimates when queued attempts will start, by giving each in turn the slot that is free first.
 * Long work may hold only some of the slots at once.
 */
final class SlotSchedule {

  /** When each slot is free, in milliseconds from now. */
  private final PriorityQueue<Double> anySlots = new PriorityQueue<>();

  /** When each of the slots that long work may hold is free, in milliseconds from now. */
  private final PriorityQueue<Double> longSlots = new PriorityQueue<>();

  /** Estimates how long attempts hold their slots. */
  private final ServiceTimeEstimator estimator;

  /**
   * Creates a schedule of the running attempts.
   *
   * @param settings says how many slots there are
   * @param running the running attempts
   * @param estimator estimates how long attempts hold their slots
   */
  SlotSchedule(
      final AdmissionSettings settings,
      final Collection<RunningItem> running,
      final ServiceTimeEstimator estimator) {
    this.estimator = estimator;
    for (final RunningItem item : running) {
      final double freeMs = item.remainingMs(estimator);
      anySlots.add(freeMs);
      if (!item.item().workClass().shortWork()) {
        longSlots.add(freeMs);
      }
    }
    fill(anySlots, settings.slots());
    fill(longSlots, settings.slots() - settings.reservedSlots());
  }

  /** Adds free slots, or drops those that are free first while there are too many. */
  private static void fill(final PriorityQueue<Double> slots, final int count) {
    while (slots.size() < count) {
      slots.add(0.0);
    }
    while (slots.size() > count) {
      slots.poll();
    }
  }

  /**
   * Gives an attempt the next slot.
   *
   * @param item the attempt
   * @return when its first token is expected, in milliseconds from now
   */
  double firstTokenInMs(final WorkItem item) {
    final boolean isLong = !item.workClass().shortWork();
    double startMs = anySlots.poll();
    if (isLong) {
      startMs = Math.max(startMs, longSlots.poll());
    }
    final double promptMs = estimator.promptMs(item.promptCost());
    final double endMs = startMs + promptMs + estimator.outputMs(item.outputCost());
    anySlots.add(endMs);
    if (isLong) {
      longSlots.add(endMs);
    }
    return startMs + promptMs;
  }
}
