package org.bulrushweir.membership;

/**
 * Summarises the reported loads of the endpoints of a service.
 *
 * @param known the number of endpoints of the service, whether they have reported or are only
 *     listed
 * @param members the number of endpoints with a recent report, including the one that requests the
 *     statistics
 * @param meanLoad the mean load of these members, in work units, zero without members
 * @param leastLoadOfOthers the least load of the members other than the requesting endpoint, in
 *     work units, {@link Long#MAX_VALUE} if there are none
 * @param medianPaceMicros the median of the members' reported times per token, in microseconds,
 *     zero if none is reported
 */
public record PoolStatistics(
    int known, int members, double meanLoad, long leastLoadOfOthers, int medianPaceMicros) {

  /**
   * Returns statistics in which the endpoints without a recent report count as idle members.
   *
   * @return the statistics over all known endpoints
   */
  public PoolStatistics withUnreportedAsIdle() {
    if (members >= known) {
      return this;
    }
    return new PoolStatistics(known, known, meanLoad * members / known, 0, medianPaceMicros);
  }
}
