package org.bulrushweir.admission;

/** Tracks what is left of a running attempt. */
final class RunningItem {

  /** Which share of its estimated output an attempt counts for at the least until it ends. */
  private static final double LEAST_SHARE = 0.25;

  /** The attempt. */
  private final WorkItem item;

  /** When it was started, in milliseconds. */
  private final long startedMs;

  /** The estimated work that is left, in work units. */
  private long remaining;

  /** Whether its first token was generated. */
  private boolean begun;

  /**
   * Creates an attempt that has just been started.
   *
   * @param item the attempt
   * @param startedMs when it was started, in milliseconds
   */
  RunningItem(final WorkItem item, final long startedMs) {
    this.item = item;
    this.startedMs = startedMs;
    this.remaining = item.cost();
  }

  WorkItem item() {
    return item;
  }

  long startedMs() {
    return startedMs;
  }

  long remaining() {
    return remaining;
  }

  boolean hasBegun() {
    return begun;
  }

  /**
   * Estimates how long the attempt holds its slot from now on.
   *
   * @param estimator knows how long the endpoint takes
   * @return milliseconds
   */
  double remainingMs(final ServiceTimeEstimator estimator) {
    if (begun) {
      return estimator.outputMs(remaining);
    }
    return estimator.promptMs(item.promptCost()) + estimator.outputMs(item.outputCost());
  }

  /**
   * Takes note of a token.
   *
   * @return by how much the work that is left has shrunk, in work units
   */
  long progress() {
    final long before = remaining;
    if (!begun) {
      begun = true;
      remaining = Math.min(remaining, Math.max(1, item.outputCost()));
    }
    final long least = Math.max(1, Math.round(item.outputCost() * LEAST_SHARE));
    remaining = Math.max(Math.min(before, least), remaining - WorkEstimator.OUTPUT_TOKEN_UNITS);
    return before - remaining;
  }
}
