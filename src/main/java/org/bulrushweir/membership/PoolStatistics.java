package org.bulrushweir.membership;

/**
 * Sums up what is known of the endpoints of a service.
 *
 * @param known how many endpoints the service has, heard of or only listed
 * @param members how many endpoints were heard of lately, with the asking one
 * @param meanLoad their mean load, in work units
 * @param leastLoadOfOthers the least load of those that are not the asking one, in work units,
 *     {@link Long#MAX_VALUE} if there are none
 * @param medianPaceMicros the median time per token of those that report one, zero if none does
 */
public record PoolStatistics(
    int known, int members, double meanLoad, long leastLoadOfOthers, int medianPaceMicros) {

  /**
   * Counts the endpoints that were not heard of as idle.
   *
   * @return the statistics of all known endpoints
   */
  public PoolStatistics withUnreportedAsIdle() {
    if (members >= known) {
      return this;
    }
    return new PoolStatistics(known, known, meanLoad * members / known, 0, medianPaceMicros);
  }
}
