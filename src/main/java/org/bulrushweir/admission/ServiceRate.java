package org.bulrushweir.admission;

/** Estimates how long a work unit takes in a slot, from the attempts that have ended. */
final class ServiceRate {

  private static final double SMOOTHING = 0.05;

  private double unitMs;

  /**
   * Takes note of an attempt that has ended.
   *
   * @param cost its estimated work
   * @param durationMs how long it ran
   */
  void record(final long cost, final long durationMs) {
    final double sample = durationMs / (double) Math.max(1, cost);
    unitMs = unitMs == 0 ? sample : unitMs + SMOOTHING * (sample - unitMs);
  }

  /**
   * Returns the estimate.
   *
   * @return milliseconds per work unit, zero while nothing is known
   */
  double unitMs() {
    return unitMs;
  }
}
