package org.bulrushweir.admission;

/** Measures how long an endpoint takes, to estimate how long attempts will hold their slots. */
final class ServiceTimeEstimator {

  /** How much a sample weighs against the past. */
  private static final double SMOOTHING = 0.05;

  /** How much a token weighs against the past; there are many. */
  private static final double TOKEN_SMOOTHING = 0.005;

  /** From how much work until the first token on an attempt is measured. */
  private static final long MINIMUM_PROMPT_COST = 64;

  /** How long a work unit of prompts takes, in milliseconds, zero while nothing is known. */
  private double promptUnitMs;

  /** How long a token takes in its slot, in milliseconds, zero while nothing is known. */
  private double tokenMs;

  /** How long a work unit of attempts without tokens takes, in milliseconds. */
  private double unitMs;

  /**
   * Takes note of a first token.
   *
   * @param promptCost the estimated work until then
   * @param durationMs how long it took
   */
  void recordPrompt(final long promptCost, final long durationMs) {
    if (promptCost >= MINIMUM_PROMPT_COST) {
      promptUnitMs = smooth(promptUnitMs, durationMs / (double) promptCost, SMOOTHING);
    }
  }

  /**
   * Takes note of a further token.
   *
   * @param intervalMs how long it took
   */
  void recordToken(final double intervalMs) {
    tokenMs = smooth(tokenMs, intervalMs, TOKEN_SMOOTHING);
  }

  /**
   * Takes note of an attempt without tokens that has ended.
   *
   * @param cost its estimated work
   * @param durationMs how long it ran
   */
  void recordCall(final long cost, final long durationMs) {
    unitMs = smooth(unitMs, durationMs / (double) Math.max(1, cost), SMOOTHING);
  }

  private static double smooth(final double before, final double sample, final double share) {
    return before == 0 ? sample : before + share * (sample - before);
  }

  /**
   * Estimates how long the first token of an attempt takes once it is started.
   *
   * @param promptCost the estimated work until then
   * @return milliseconds, zero while nothing is known
   */
  double promptMs(final long promptCost) {
    return promptCost * promptUnitMs;
  }

  /**
   * Estimates how long an attempt holds its slot after its first token.
   *
   * @param outputCost the estimated work that is left
   * @return milliseconds, zero while nothing is known
   */
  double outputMs(final long outputCost) {
    final double perUnitMs = tokenMs == 0 ? unitMs : tokenMs / WorkEstimator.OUTPUT_TOKEN_UNITS;
    return outputCost * perUnitMs;
  }
}
