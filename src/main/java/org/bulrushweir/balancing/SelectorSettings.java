package org.bulrushweir.balancing;

/**
 * Holds the settings of the choice of endpoints.
 *
 * @param loadMultiple the bound on an endpoint's load, as a multiple of the mean of its service
 * @param prefillTokensPerMs how many prompt tokens an engine reads in a millisecond
 */
public record SelectorSettings(double loadMultiple, double prefillTokensPerMs) {

  /** What a request beyond the bound costs, in milliseconds: more than any prompt. */
  private static final double OVER_BOUND_MS = 10_000;

  /** What a way to another availability zone counts, as a share of an endpoint's slots. */
  private static final double OTHER_ZONE_SHARE = 0.1;

  /** How far apart endpoints with equal loads are drawn, as a share of their slots. */
  private static final double TIE_SHARE = 0.05;

  double overBoundMs() {
    return OVER_BOUND_MS;
  }

  double otherZoneShare() {
    return OTHER_ZONE_SHARE;
  }

  double tieShare() {
    return TIE_SHARE;
  }
}
