package org.bulrushweir.membership;

/**
 * Computes how much work an endpoint may carry, and how much a slow one is worth.
 *
 * <p>The weight of an endpoint whose tokens take longer than those of its peers falls at once and
 * recovers slowly, so that a slowdown is left fast and not returned to in a rush. Not safe for use
 * by many threads.
 */
public final class LoadCeiling {

  /** Up to which multiple of the median pace an endpoint counts as healthy. */
  private static final double HEALTHY_FACTOR = 1.5;

  /**
   * The share of the declared multiple up to which work is accepted. The rest is kept for loads of
   * peers that have shrunk since they were reported: with the whole multiple, loads were up to 1.48
   * times the mean where 1.25 is declared; with this share never more than 1.11 times.
   */
  private static final double ENFORCED_SHARE = 0.7;

  /** The least weight, so that an endpoint is never wholly left. */
  private static final double MINIMUM_WEIGHT = 0.1;

  /** How much weight comes back in a millisecond. */
  private static final double RECOVERY_PER_MS = 0.1 / 1_000;

  /** The current weight, from the minimum to one. */
  private double weight = 1;

  /** When the weight was last updated, in milliseconds. */
  private long updatedMs;

  /**
   * Updates the weight.
   *
   * @param ownPaceMicros the endpoint's own time per token, zero if unknown
   * @param medianPaceMicros that of its peers, zero if unknown
   * @param nowMs the current time
   * @return the weight
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
   * Computes the ceiling. Work beyond it is refused. Whoever carries the least takes work in any
   * case: it carries no more than the mean, and otherwise a pool whose members all carry the same
   * would take nothing. An endpoint without peers has no ceiling.
   *
   * @param loadMultiple the declared multiple of the mean
   * @param statistics the pool, with the endpoint itself
   * @return the ceiling, in work units
   */
  public double allowedLoad(final double loadMultiple, final PoolStatistics statistics) {
    final double share = ENFORCED_SHARE * loadMultiple * statistics.meanLoad();
    return weight * Math.max(share, statistics.leastLoadOfOthers());
  }
}
