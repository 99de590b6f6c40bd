package org.bulrushweir.membership;

/**
 * Computes the load limit of an endpoint, weighted down if the endpoint is slower than its peers.
 *
 * <p>The weight drops immediately when an endpoint's tokens take longer than those of its peers,
 * and recovers slowly. Work thus moves away from a slow endpoint fast, and does not return in a
 * burst. Not thread-safe.
 */
public final class LoadCeiling {

  /**
   * Greatest ratio of an endpoint's time per token to the median at which the endpoint counts as
   * healthy.
   */
  private static final double HEALTHY_FACTOR = 1.5;

  /**
   * Fraction of the declared multiple up to which work is accepted. The rest is headroom for loads
   * of peers that have decreased since they were reported: with the whole multiple, loads reached
   * 1.48 times the mean where 1.25 is declared; with this fraction they never exceeded 1.11 times.
   */
  private static final double ENFORCED_SHARE = 0.7;

  /** Lower bound of the weight, so that even a slow endpoint keeps receiving some work. */
  private static final double MINIMUM_WEIGHT = 0.1;

  /** Increase of the weight per millisecond while it recovers. */
  private static final double RECOVERY_PER_MS = 0.1 / 1_000;

  /** Current weight, between the minimum and one. */
  private double weight = 1;

  /** Time of the last update of the weight, in milliseconds of the process's clock. */
  private long updatedMs;

  /**
   * Updates the weight from the time per token of the endpoint and of its peers.
   *
   * @param ownPaceMicros the endpoint's own time per token in microseconds, zero if unknown
   * @param medianPaceMicros the median time per token of the pool in microseconds, zero if unknown
   * @param nowMs the current time in milliseconds of the process's clock
   * @return the new weight, greater than zero and at most one
   */
  public double updateWeight(
      final int ownPaceMicros, final int medianPaceMicros, final long nowMs) {
    final double target = target(ownPaceMicros, medianPaceMicros);
    final double recovered = weight + (nowMs - updatedMs) * RECOVERY_PER_MS;
    weight = Math.max(MINIMUM_WEIGHT, Math.min(target, Math.min(1, recovered)));
    updatedMs = nowMs;
    return weight;
  }

  private static double target(final int ownPaceMicros, final int medianPaceMicros) {
    if (ownPaceMicros == 0 || medianPaceMicros == 0) {
      return 1;
    }
    final double slowdown = ownPaceMicros / (double) medianPaceMicros;
    return slowdown <= HEALTHY_FACTOR ? 1 : 1 / slowdown;
  }

  /**
   * Computes the load limit, beyond which work is refused. The limit is at least the least load of
   * the other endpoints: the least loaded endpoint carries no more than the mean, and without this
   * rule a pool whose members all carry the same load would accept nothing. An endpoint without
   * peers has no limit.
   *
   * @param loadMultiple the declared maximum of a load, as a multiple of the mean
   * @param statistics the statistics of the pool, including the endpoint itself
   * @return the limit in work units
   */
  public double allowedLoad(final double loadMultiple, final PoolStatistics statistics) {
    final double share = ENFORCED_SHARE * loadMultiple * statistics.meanLoad();
    return weight * Math.max(share, statistics.leastLoadOfOthers());
  }
}
