package org.bulrushweir.admission;

/** Estimates the work of attempts in work units; one unit is the prefill of one prompt token. */
final class WorkEstimator {

  /** The work of generating one token, in work units. */
  static final long OUTPUT_TOKEN_UNITS = 8;

  /** The work of a call of a plain service, in work units. */
  static final long SERVICE_CALL_UNITS = 100;

  private WorkEstimator() {}

  /**
   * Returns the estimated work of processing a chat's prompt, which ends with the first token.
   *
   * @param promptTokens the number of prompt tokens
   * @param cachedTokens the number of them that are expected to be in the KV cache
   * @return the work in work units
   */
  static long prompt(final int promptTokens, final int cachedTokens) {
    return Math.max(0, promptTokens - cachedTokens);
  }

  /**
   * Returns the estimated work of generating an answer.
   *
   * @param outputTokens the number of tokens still to be generated
   * @return the work in work units
   */
  static long output(final int outputTokens) {
    return OUTPUT_TOKEN_UNITS * Math.max(0, outputTokens);
  }
}
