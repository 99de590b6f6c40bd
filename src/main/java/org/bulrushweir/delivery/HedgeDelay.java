package org.bulrushweir.delivery;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Decides after how long without a first token a second endpoint is asked: when nearly all requests
 * of the class would have had theirs. Safe for use by many threads.
 */
public final class HedgeDelay {

  /** The share of requests, in percent, that have their first token before the delay is over. */
  private static final double PERCENTILE = 95;

  /** The least delay, in milliseconds. */
  private static final long MINIMUM_MS = 50;

  /** The longest time to a first token that is told apart, in milliseconds. */
  private static final long MAXIMUM_MS = 600_000;

  /** How many requests are measured before a delay is decided. */
  private static final long MINIMUM_SAMPLES = 50;

  /** After how many requests the past begins to be forgotten. */
  private static final long FORGET_AFTER_SAMPLES = 2_000;

  /** How many significant digits are kept. */
  private static final int DIGITS = 2;

  /** The times to the first token, by class of work. */
  private final Map<String, Window> windows = new HashMap<>();

  /**
   * Takes note of a first token.
   *
   * @param workClass the class of work
   * @param firstTokenMs how long it took, in milliseconds
   */
  public synchronized void record(final String workClass, final long firstTokenMs) {
    windows
        .computeIfAbsent(workClass, name -> new Window())
        .record(Math.min(MAXIMUM_MS, Math.max(0, firstTokenMs)));
  }

  /**
   * Returns the delay.
   *
   * @param workClass the class of work
   * @return milliseconds, {@link Long#MAX_VALUE} while too little is known
   */
  public synchronized long delayMs(final String workClass) {
    final Window window = windows.get(workClass);
    return window == null ? Long.MAX_VALUE : window.delayMs();
  }

  /** Keeps the latest times in two histograms of which the older one is dropped when full. */
  private static final class Window {

    private Histogram current = new Histogram(MAXIMUM_MS, DIGITS);
    private Histogram previous = new Histogram(MAXIMUM_MS, DIGITS);

    private void record(final long firstTokenMs) {
      current.recordValue(firstTokenMs);
      if (current.getTotalCount() >= FORGET_AFTER_SAMPLES) {
        previous = current;
        current = new Histogram(MAXIMUM_MS, DIGITS);
      }
    }

    private long delayMs() {
      final Histogram best = current.getTotalCount() >= MINIMUM_SAMPLES ? current : previous;
      if (best.getTotalCount() < MINIMUM_SAMPLES) {
        return Long.MAX_VALUE;
      }
      return Math.max(MINIMUM_MS, best.getValueAtPercentile(PERCENTILE));
    }
  }
}
