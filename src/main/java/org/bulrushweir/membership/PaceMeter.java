package org.bulrushweir.membership;

/** Measures how long an endpoint takes per token. Not safe for use by many threads. */
public final class PaceMeter {

  /** Over how many milliseconds the measure forgets the past. */
  private static final double TIME_CONSTANT_MS = 300;

  /** After how many milliseconds without a token the measure is void. */
  private static final long IDLE_MS = 2_000;

  /** How many microseconds a millisecond has. */
  private static final int MICROS_PER_MS = 1_000;

  /** The smoothed time per token, in milliseconds, zero if unknown. */
  private double paceMs;

  /** When the last token came, in milliseconds. */
  private long lastTokenMs;

  /**
   * Takes note of a token.
   *
   * @param intervalMs how long it took since the one before it in the same answer
   * @param nowMs the current time
   */
  public void recordInterval(final double intervalMs, final long nowMs) {
    lastTokenMs = nowMs;
    if (paceMs == 0) {
      paceMs = intervalMs;
      return;
    }
    final double share = 1 - Math.exp(-Math.max(1, intervalMs) / TIME_CONSTANT_MS);
    paceMs += share * (intervalMs - paceMs);
  }

  /**
   * Takes note of a token that says nothing about the pace.
   *
   * @param nowMs the current time
   */
  public void recordTokenTime(final long nowMs) {
    lastTokenMs = nowMs;
  }

  /**
   * Returns the measure. While answers are under way, a pause since the last token counts too.
   *
   * @param generating whether any answer is under way
   * @param nowMs the current time
   * @return microseconds per token, zero if unknown
   */
  public int paceMicros(final boolean generating, final long nowMs) {
    if (paceMs == 0) {
      return 0;
    }
    final long pauseMs = nowMs - lastTokenMs;
    if (!generating) {
      return pauseMs > IDLE_MS ? 0 : toMicros(paceMs);
    }
    return toMicros(Math.max(paceMs, pauseMs));
  }

  private static int toMicros(final double milliseconds) {
    return (int) Math.round(milliseconds * MICROS_PER_MS);
  }
}
