package org.bulrushweir.balancing;

/**
 * Decides the rank of a prompt at its engine. Within each rank of the configuration, prompts that
 * need little time of the engine go before long ones: a short prompt delays a long one by a few
 * milliseconds, a long one may make a short one miss its target.
 */
final class EngineRank {

  /** The number of ranks at an engine for each rank of the configuration. */
  private static final int RANKS_PER_CONFIGURED = 2;

  /** The least urgent rank of engines. */
  private static final int LAST_RANK = 9;

  /** The share of the time left until the target up to which a prefill is short. */
  private static final double SHORT_SHARE = 0.1;

  private EngineRank() {}

  /**
   * Returns the rank of a prompt at its engine. It never puts a request before one of a more urgent
   * configured rank.
   *
   * @param configured the configured rank, 0 is the most urgent
   * @param prefillMs the time that the engine needs to prefill the prompt, in milliseconds
   * @param timeLeftMs the time until the target for the first event, in milliseconds
   * @return the rank from 0 to 9
   */
  static int rank(final int configured, final double prefillMs, final long timeLeftMs) {
    final long first = (long) RANKS_PER_CONFIGURED * Math.max(0, configured);
    return (int) Math.min(LAST_RANK, first + (isShort(prefillMs, timeLeftMs) ? 0 : 1));
  }

  /**
   * Returns the rank of a request whose prompt is unknown: that of a long one.
   *
   * @param configured the configured rank, 0 is the most urgent
   * @return the rank from 0 to 9
   */
  static int withoutPrompt(final int configured) {
    return rank(configured, Double.POSITIVE_INFINITY, 0);
  }

  /**
   * Returns whether a prompt is short for its target.
   *
   * @param prefillMs the time that the engine needs to prefill the prompt, in milliseconds
   * @param timeLeftMs the time until the target for the first event, in milliseconds
   * @return true if its prefill takes a small part of the time
   */
  static boolean isShort(final double prefillMs, final long timeLeftMs) {
    return prefillMs <= SHORT_SHARE * timeLeftMs;
  }
}
