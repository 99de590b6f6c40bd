package org.bulrushweir.balancing;

import java.util.Arrays;

/**
 * The times of the calls of one service over the last seconds, as this gateway measures them.
 * Attempts that were given up count as calls that take longer than that.
 */
final class CallTimes {

  /** The time returned if no second attempt is advisable. */
  static final long NEVER = Long.MAX_VALUE;

  /** The upper bound of the first bucket, in milliseconds. */
  private static final double FIRST_BOUND_MS = 4;

  /** The ratio of the bounds of neighbouring buckets: times are known to about a seventh. */
  private static final double BOUND_RATIO = 1.15;

  /** The number of buckets; the last one starts at about 15 s. */
  private static final int BUCKETS = 60;

  /** The time after which the recorded times lose a part of their weight, in milliseconds. */
  private static final long DECAY_INTERVAL_MS = 1_000;

  /**
   * The weight that is left after that time. One of 30 gateways may see no more than two calls of a
   * service per second.
   */
  private static final double DECAY = 0.93;

  /** The number of recent calls from which their mean is used. */
  private static final double MIN_MEAN_CALLS = 5;

  /** The number of recent calls from which their distribution is used. */
  private static final double MIN_CALLS = 20;

  /** The largest share of calls for which a second attempt is early. */
  private static final double MAX_EARLY_SHARE = 0.1;

  /** How much likelier a second attempt must meet the target than the first, as a probability. */
  private static final double MIN_ADVANTAGE = 0.2;

  private final double[] ended = new double[BUCKETS];
  private final double[] givenUp = new double[BUCKETS];
  private final double[] longer = new double[BUCKETS];
  private double count;
  private double sumMs;
  private long decayedAtMs;

  /**
   * Records a call.
   *
   * @param ms its time in milliseconds
   * @param complete false if it was given up after this time
   * @param nowMs the current time, in Unix milliseconds
   */
  void record(final long ms, final boolean complete, final long nowMs) {
    decay(nowMs);
    if (!complete) {
      givenUp[bucket(ms)]++;
      return;
    }
    ended[bucket(ms)]++;
    count++;
    sumMs += ms;
  }

  private void decay(final long nowMs) {
    final long intervals = (nowMs - decayedAtMs) / DECAY_INTERVAL_MS;
    if (intervals <= 0) {
      return;
    }
    decayedAtMs += intervals * DECAY_INTERVAL_MS;
    final double factor = Math.pow(DECAY, intervals);
    for (int index = 0; index < BUCKETS; index++) {
      ended[index] *= factor;
      givenUp[index] *= factor;
    }
    count *= factor;
    sumMs *= factor;
  }

  private static int bucket(final double ms) {
    if (ms <= FIRST_BOUND_MS) {
      return 0;
    }
    final double steps = Math.log(ms / FIRST_BOUND_MS) / Math.log(BOUND_RATIO);
    return Math.min(BUCKETS - 1, (int) Math.ceil(steps));
  }

  private static long boundMs(final int bucket) {
    return (long) Math.ceil(FIRST_BOUND_MS * Math.pow(BOUND_RATIO, bucket));
  }

  /**
   * Returns the mean time of the calls.
   *
   * @return the time in milliseconds, zero while too few calls are known
   */
  double meanMs() {
    return count < MIN_MEAN_CALLS ? 0 : sumMs / count;
  }

  /**
   * Returns when a second attempt, which replaces the first, becomes likelier to meet the target
   * than the first one.
   *
   * @param targetMs the target for the time of a request, in milliseconds
   * @return the time since the first attempt was sent in milliseconds, {@link #NEVER} if that is
   *     never so
   */
  long secondAttemptMs(final long targetMs) {
    if (count < MIN_CALLS) {
      return NEVER;
    }
    updateLonger();
    final double longerThanTarget = longer(targetMs);
    for (int index = 0; index < BUCKETS && boundMs(index) < targetMs; index++) {
      final long atMs = boundMs(index);
      if (longer[index] > 0 && longer[index] <= MAX_EARLY_SHARE) {
        final double first = 1 - longerThanTarget / longer[index];
        final double second = 1 - longer(targetMs - atMs);
        if (second >= first + MIN_ADVANTAGE) {
          return atMs;
        }
      }
    }
    return NEVER;
  }

  /** Estimates the share of calls that take longer than each bound (Kaplan-Meier). */
  private void updateLonger() {
    double remaining = Arrays.stream(ended).sum() + Arrays.stream(givenUp).sum();
    double share = 1;
    for (int index = 0; index < BUCKETS; index++) {
      share *= remaining > 0 ? Math.max(0, 1 - ended[index] / remaining) : 1;
      remaining -= ended[index] + givenUp[index];
      longer[index] = share;
    }
  }

  private double longer(final long ms) {
    // The bucket below: the calls in a bucket may all take longer than a time within it.
    final int index = bucket(ms) - (boundMs(bucket(ms)) > ms ? 1 : 0);
    return index < 0 ? 1 : longer[index];
  }
}
