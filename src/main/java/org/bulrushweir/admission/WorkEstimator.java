package org.bulrushweir.admission;

/** Estimates the work of attempts in work units; one unit is the reading of a prompt token. */
final class WorkEstimator {

  /** How many units the generation of a token costs. */
  static final long OUTPUT_TOKEN_UNITS = 8;

  /** How many units a call of a plain service costs. */
  static final long SERVICE_CALL_UNITS = 100;

  private WorkEstimator() {}

  /**
   * Estimates the work until the first token of a chat's answer.
   *
   * @param promptTokens the tokens of the prompt
   * @param cachedTokens how many of them are expected to be cached
   * @return the work in units
   */
  static long prompt(final int promptTokens, final int cachedTokens) {
    return Math.max(0, promptTokens - cachedTokens);
  }

  /**
   * Estimates the work of generating an answer.
   *
   * @param outputTokens the tokens that are still to be generated
   * @return the work in units
   */
  static long output(final int outputTokens) {
    return OUTPUT_TOKEN_UNITS * Math.max(0, outputTokens);
  }
}
