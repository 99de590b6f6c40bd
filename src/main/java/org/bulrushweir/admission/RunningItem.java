package org.bulrushweir.admission;

/** Tracks the remaining work of a running attempt. */
final class RunningItem {

  /**
   * The fraction of an attempt's estimated output that counts as remaining until it ends, however
   * many tokens it has generated.
   */
  private static final double MINIMUM_REMAINING_SHARE = 0.25;

  /** The attempt. */
  private final WorkItem item;

  /** When it was started, in milliseconds of the sidecar's clock. */
  private final long startedMs;

  /** The estimated remaining work, in work units. */
  private long remaining;

  /** Whether its first token has been generated. */
  private boolean firstTokenGenerated;

  /**
   * Creates an attempt that has just been started.
   *
   * @param item the attempt
   * @param startedMs when it was started, in milliseconds of the sidecar's clock
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

  boolean hasFirstToken() {
    return firstTokenGenerated;
  }

  /**
   * Returns the estimated time for which the attempt still occupies its slot.
   *
   * @param estimator estimates the endpoint's service times
   * @return the time in milliseconds
   */
  double remainingMs(final ServiceTimeEstimator estimator) {
    if (firstTokenGenerated) {
      return estimator.outputMs(remaining);
    }
    return estimator.promptMs(item.promptCost()) + estimator.outputMs(item.outputCost());
  }

  /**
   * Records that a token was generated, and reduces the remaining work.
   *
   * @return the amount by which the remaining work was reduced, in work units
   */
  long advance() {
    final long before = remaining;
    if (!firstTokenGenerated) {
      firstTokenGenerated = true;
      remaining = Math.min(remaining, Math.max(1, item.outputCost()));
    }
    final long minimum = Math.max(1, Math.round(item.outputCost() * MINIMUM_REMAINING_SHARE));
    remaining = Math.max(Math.min(before, minimum), remaining - WorkEstimator.OUTPUT_TOKEN_UNITS);
    return before - remaining;
  }
}
