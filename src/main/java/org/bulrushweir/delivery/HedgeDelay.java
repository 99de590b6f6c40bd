package org.bulrushweir.delivery;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Computes the delay after which a request that has no first token yet is hedged, that is, sent to
 * a second endpoint as well: the 95th percentile of the time to first token of its work class.
 * Thread-safe.
 */
public final class HedgeDelay {

  /** The percentile of the time to first token that is used as the delay. */
  private static final double PERCENTILE = 95;

  /** The lower bound of the delay, in milliseconds. */
  private static final long MINIMUM_DELAY_MS = 50;

  /**
   * The longest time that the histograms distinguish, in milliseconds; longer ones count as this.
   */
  private static final long MAXIMUM_RECORDED_MS = 600_000;

  /** The number of samples that a histogram needs before a delay is derived from it. */
  private static final long MINIMUM_SAMPLES = 50;

  /** The number of samples after which a new histogram is started and the oldest one is dropped. */
  private static final long WINDOW_SAMPLES = 2_000;

  /** The precision of the histograms, in significant decimal digits. */
  private static final int SIGNIFICANT_DIGITS = 2;

  /** The times to first token by work class. */
  private final Map<String, Window> windows = new HashMap<>();

  /**
   * Records the time to first token of a request.
   *
   * @param workClass the work class of the request
   * @param firstTokenMs the time from the start of the request to its first token, in milliseconds
   */
  public synchronized void record(final String workClass, final long firstTokenMs) {
    windows
        .computeIfAbsent(workClass, name -> new Window())
        .record(Math.min(MAXIMUM_RECORDED_MS, Math.max(0, firstTokenMs)));
  }

  /**
   * Returns the hedge delay of a work class.
   *
   * @param workClass the work class
   * @return the delay in milliseconds, {@link Long#MAX_VALUE} (never hedge) while there are too few
   *     samples
   */
  public synchronized long delayMs(final String workClass) {
    final Window window = windows.get(workClass);
    return window == null ? Long.MAX_VALUE : window.delayMs();
  }

  /**
   * Sliding window over the latest samples: when the current histogram is full, it replaces the
   * previous one.
   */
  private static final class Window {

    private Histogram current = new Histogram(MAXIMUM_RECORDED_MS, SIGNIFICANT_DIGITS);
    private Histogram previous = new Histogram(MAXIMUM_RECORDED_MS, SIGNIFICANT_DIGITS);

    private void record(final long firstTokenMs) {
      current.recordValue(firstTokenMs);
      if (current.getTotalCount() >= WINDOW_SAMPLES) {
        previous = current;
        current = new Histogram(MAXIMUM_RECORDED_MS, SIGNIFICANT_DIGITS);
      }
    }

    private long delayMs() {
      final Histogram histogram = current.getTotalCount() >= MINIMUM_SAMPLES ? current : previous;
      if (histogram.getTotalCount() < MINIMUM_SAMPLES) {
        return Long.MAX_VALUE;
      }
      return Math.max(MINIMUM_DELAY_MS, histogram.getValueAtPercentile(PERCENTILE));
    }
  }
}
