package org.bulrushweir.balancing;

/**
 * The settings of the endpoint selection.
 *
 * @param loadMultiple the load bound of an engine, as a multiple of the mean load of its service
 * @param prefillTokensPerMs the prefill speed of an engine, in tokens per millisecond
 * @param statedLoad whether the selection uses the pace of the endpoints, the targets of prompts
 *     and the capacity of KV caches
 */
public record SelectorSettings(double loadMultiple, double prefillTokensPerMs, boolean statedLoad) {

  /**
   * The cost of each in-flight request at an engine that has reached the load bound, in
   * milliseconds. It exceeds the prefill time of any prompt.
   */
  private static final double OVER_BOUND_MS = 10_000;

  /** The cost of an endpoint in another availability zone, as a share of its slots. */
  private static final double OTHER_ZONE_SHARE = 0.1;

  /**
   * The range of the random number that breaks ties between equally loaded endpoints, as a share of
   * their slots.
   */
  private static final double TIE_SHARE = 0.05;

  /**
   * Creates settings of a selection that uses none of these.
   *
   * @param loadMultiple the load bound of an engine, as a multiple of the mean load of its service
   * @param prefillTokensPerMs the prefill speed of an engine, in tokens per millisecond
   */
  public SelectorSettings(final double loadMultiple, final double prefillTokensPerMs) {
    this(loadMultiple, prefillTokensPerMs, false);
  }

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
