package org.bulrushweir.admission;

/** Estimates the work of attempts in work units; one unit is the reading of a prompt token. */
public final class WorkEstimator {

  /** How many units the generation of a token costs. */
  public static final long OUTPUT_TOKEN_UNITS = 8;

  /** How many units a call of a plain service costs. */
  public static final long SERVICE_CALL_UNITS = 100;

  private WorkEstimator() {}

  /**
   * Estimates the work of a chat's answer.
   *
   * @param promptTokens the tokens of the prompt
   * @param cachedTokens how many of them are expected to be cached
   * @param outputTokens the tokens of the answer that are still to be generated
   * @return the work in units, at least one
   */
  public static long chat(final int promptTokens, final int cachedTokens, final int outputTokens) {
    final long uncached = Math.max(0, promptTokens - cachedTokens);
    return Math.max(1, uncached + OUTPUT_TOKEN_UNITS * Math.max(0, outputTokens));
  }
}
