package org.bulrushweir.replay;

import java.util.Map;
import org.bulrushweir.api.EndpointId;

/**
 * Holds the loads of the engines at some moment.
 *
 * @param timeMs when, in milliseconds
 * @param loads the loads by engine, in work units
 * @param largest the work of the largest attempt that each engine carries, in work units
 */
public record LoadSample(long timeMs, Map<EndpointId, Long> loads, Map<EndpointId, Long> largest) {

  /**
   * Computes the mean load.
   *
   * @return the mean, in work units
   */
  public double mean() {
    return loads.values().stream().mapToLong(Long::longValue).average().orElse(0);
  }

  /**
   * Computes the greatest load as a multiple of the mean.
   *
   * @return the multiple, zero if there is no load
   */
  public double skew() {
    final double mean = mean();
    final long greatest = loads.values().stream().mapToLong(Long::longValue).max().orElse(0);
    return mean == 0 ? 0 : greatest / mean;
  }

  /**
   * Computes the greatest load, less one attempt, as a multiple of the mean.
   *
   * @return the multiple, zero if there is no load
   */
  public double skewLessOneAttempt() {
    final double mean = mean();
    if (mean == 0) {
      return 0;
    }
    double greatest = 0;
    for (final Map.Entry<EndpointId, Long> entry : loads.entrySet()) {
      greatest = Math.max(greatest, entry.getValue() - largest.get(entry.getKey()));
    }
    return greatest / mean;
  }
}
