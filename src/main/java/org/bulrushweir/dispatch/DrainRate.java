package org.bulrushweir.dispatch;

/** Measures how fast the endpoints of a service complete the requests of this gateway. */
final class DrainRate {

  /**
   * The time over which completions are counted, in milliseconds: long enough for some hundred
   * completions of a small service, short enough to follow a loss of endpoints.
   */
  private static final long WINDOW_MS = 2_000;

  private static final int BUCKETS = 10;
  private static final long BUCKET_MS = WINDOW_MS / BUCKETS;

  /** The weight of the latest completion in the means. */
  private static final double MEAN_WEIGHT = 0.1;

  private final double[] doneWork = new double[BUCKETS];
  private final long[] bucketNumbers = new long[BUCKETS];
  private double meanMs;
  private double meanWork;
  private long firstMs = -1;

  /** Returns an independent copy. */
  DrainRate copy() {
    final DrainRate copy = new DrainRate();
    System.arraycopy(doneWork, 0, copy.doneWork, 0, BUCKETS);
    System.arraycopy(bucketNumbers, 0, copy.bucketNumbers, 0, BUCKETS);
    copy.meanMs = meanMs;
    copy.meanWork = meanWork;
    copy.firstMs = firstMs;
    return copy;
  }

  /**
   * Records a completed request.
   *
   * @param work its work
   * @param durationMs the time from its first attempt to its end, in milliseconds
   * @param nowMs the current time, in Unix milliseconds
   */
  void recordCompletion(final double work, final long durationMs, final long nowMs) {
    if (firstMs < 0) {
      firstMs = nowMs;
      meanMs = durationMs;
      meanWork = work;
    }
    meanMs += MEAN_WEIGHT * (durationMs - meanMs);
    meanWork += MEAN_WEIGHT * (work - meanWork);
    final long number = nowMs / BUCKET_MS;
    final int bucket = (int) (number % BUCKETS);
    if (bucketNumbers[bucket] != number) {
      bucketNumbers[bucket] = number;
      doneWork[bucket] = 0;
    }
    doneWork[bucket] += work;
  }

  /**
   * Returns the mean duration of a request.
   *
   * @return the time in milliseconds, zero before the first completion
   */
  double meanMs() {
    return meanMs;
  }

  /**
   * Returns the work that is completed per millisecond. While the service has room, completions
   * show the demand instead of the capacity; the slots divided by the mean duration then show more.
   *
   * @param slots the slots that this gateway may use
   * @param nowMs the current time, in Unix milliseconds
   * @return the rate, zero if it is unknown
   */
  double workPerMs(final double slots, final long nowMs) {
    if (firstMs < 0) {
      return 0;
    }
    final long number = nowMs / BUCKET_MS;
    double sum = 0;
    for (int bucket = 0; bucket < BUCKETS; bucket++) {
      if (number - bucketNumbers[bucket] < BUCKETS) {
        sum += doneWork[bucket];
      }
    }
    return Math.max(sum / WINDOW_MS, slots * meanWork / Math.max(1, meanMs));
  }
}
