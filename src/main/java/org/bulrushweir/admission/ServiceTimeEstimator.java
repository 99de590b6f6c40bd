package org.bulrushweir.admission;

/**
 * Estimates how long attempts occupy their slots, from exponential moving averages of the
 * endpoint's measured service times.
 */
final class ServiceTimeEstimator {

  /** The weight of a new sample in the moving averages of prompts and of calls without tokens. */
  private static final double SAMPLE_WEIGHT = 0.05;

  /**
   * The weight of a new sample in the moving average of token intervals; smaller because each
   * answer has many tokens.
   */
  private static final double TOKEN_SAMPLE_WEIGHT = 0.005;

  /**
   * The minimum estimated prompt work of a sample, in work units; shorter prompts are not measured.
   */
  private static final long MINIMUM_PROMPT_UNITS = 64;

  /**
   * The mean time per work unit of prompt processing, in milliseconds, zero before the first
   * sample.
   */
  private double promptUnitMs;

  /**
   * The mean time between two tokens of an answer, in milliseconds, zero before the first sample.
   */
  private double tokenMs;

  /**
   * The mean time per work unit of attempts that generate no tokens, in milliseconds, zero before
   * the first sample.
   */
  private double callUnitMs;

  /**
   * Records the time to first token of an attempt.
   *
   * @param promptCost the estimated work of processing its prompt, in work units
   * @param durationMs the time from its start to its first token, in milliseconds
   */
  void recordPrompt(final long promptCost, final long durationMs) {
    if (promptCost >= MINIMUM_PROMPT_UNITS) {
      promptUnitMs = smooth(promptUnitMs, durationMs / (double) promptCost, SAMPLE_WEIGHT);
    }
  }

  /**
   * Records the interval before a token that is not the first one.
   *
   * @param intervalMs the time since the answer's previous token, in milliseconds
   */
  void recordToken(final double intervalMs) {
    tokenMs = smooth(tokenMs, intervalMs, TOKEN_SAMPLE_WEIGHT);
  }

  /**
   * Records the duration of an attempt that ended without generating a token.
   *
   * @param cost its estimated work, in work units
   * @param durationMs the time from its start to its end, in milliseconds
   */
  void recordCall(final long cost, final long durationMs) {
    callUnitMs = smooth(callUnitMs, durationMs / (double) Math.max(1, cost), SAMPLE_WEIGHT);
  }

  private static double smooth(final double mean, final double sample, final double weight) {
    return mean == 0 ? sample : mean + weight * (sample - mean);
  }

  /**
   * Returns the estimated time from the start of an attempt to its first token.
   *
   * @param promptCost the estimated work of processing its prompt, in work units
   * @return the time in milliseconds, zero before the first sample
   */
  double promptMs(final long promptCost) {
    return promptCost * promptUnitMs;
  }

  /**
   * Returns the estimated time for which an attempt occupies its slot after its first token.
   *
   * @param outputCost the estimated work of generating the rest of its answer, in work units
   * @return the time in milliseconds, zero before the first sample
   */
  double outputMs(final long outputCost) {
    final double perUnitMs = tokenMs == 0 ? callUnitMs : tokenMs / WorkEstimator.OUTPUT_TOKEN_UNITS;
    return outputCost * perUnitMs;
  }
}
