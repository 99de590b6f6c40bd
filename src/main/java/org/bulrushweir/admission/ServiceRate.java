package org.bulrushweir.admission;

/** Estimates how long a work unit takes in a slot, from the attempts that have ended. */
final class ServiceRate {

  private static final double SMOOTHING = 0.05;

  /** From how much work until the first token on an attempt is measured. */
  private static final long MINIMUM_PROMPT_COST = 64;

  private double unitMs;

  /** How long a work unit of prompts takes, in milliseconds, zero while nothing is known. */
  private double promptUnitMs;

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
   * Takes note of a first token.
   *
   * @param promptCost the estimated work until then
   * @param durationMs how long it took
   */
  void recordPrompt(final long promptCost, final long durationMs) {
    if (promptCost < MINIMUM_PROMPT_COST) {
      return;
    }
    final double sample = durationMs / (double) promptCost;
    promptUnitMs = promptUnitMs == 0 ? sample : promptUnitMs + SMOOTHING * (sample - promptUnitMs);
  }

  /**
   * Estimates how long the first token of an attempt takes once it is started.
   *
   * @param promptCost the estimated work until then
   * @return milliseconds, zero while nothing is known
   */
  long promptMs(final long promptCost) {
    return Math.round(promptCost * promptUnitMs);
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
