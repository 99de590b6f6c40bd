package org.bulrushweir.membership;

/**
 * Measures the pace of an endpoint, its time per generated token, by exponential smoothing. Not
 * thread-safe.
 */
public final class PaceMeter {

  /** Time constant of the exponential smoothing, in milliseconds. */
  private static final double TIME_CONSTANT_MS = 300;

  /**
   * Time without a token, in milliseconds, after which the pace of an idle endpoint counts as
   * unknown.
   */
  private static final long IDLE_TIMEOUT_MS = 2_000;

  private static final int MICROS_PER_MS = 1_000;

  /** The smoothed time per token, in milliseconds, zero if unknown. */
  private double paceMs;

  /** Arrival time of the last token, in milliseconds of the process's clock. */
  private long lastTokenMs;

  /**
   * Records the interval between two tokens of one answer.
   *
   * @param intervalMs the time in milliseconds between the token and the one before it in the same
   *     answer
   * @param nowMs the current time in milliseconds of the process's clock
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
   * Records the arrival of a token whose interval does not reflect the pace.
   *
   * @param nowMs the current time in milliseconds of the process's clock
   */
  public void recordTokenTime(final long nowMs) {
    lastTokenMs = nowMs;
  }

  /**
   * Returns the current pace. While answers are being generated, the time since the last token is a
   * lower bound, so that a stall shows before the next token arrives.
   *
   * @param generating whether any answer is being generated
   * @param nowMs the current time in milliseconds of the process's clock
   * @return microseconds per token, zero if unknown
   */
  public int paceMicros(final boolean generating, final long nowMs) {
    if (paceMs == 0) {
      return 0;
    }
    final long pauseMs = nowMs - lastTokenMs;
    if (!generating) {
      return pauseMs > IDLE_TIMEOUT_MS ? 0 : toMicros(paceMs);
    }
    return toMicros(Math.max(paceMs, pauseMs));
  }

  private static int toMicros(final double milliseconds) {
    return (int) Math.round(milliseconds * MICROS_PER_MS);
  }
}
