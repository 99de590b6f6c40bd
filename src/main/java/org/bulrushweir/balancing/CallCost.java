package org.bulrushweir.balancing;

import java.util.List;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.routing.BitMixer;

/**
 * The cost of an endpoint for a call: the expected time until the call ends, relative to the mean
 * time of the service's calls. How the calls of peers are spread over the endpoints of a zone is
 * known only for the short time that calls last; how many there are in the zone is known for
 * longer.
 */
final class CallCost implements EndpointCost {

  /** The delay of an endpoint in another availability zone, in milliseconds: a round trip. */
  private static final double OTHER_ZONE_MS = 3;

  /** The mean time that is assumed while no call has been measured, in milliseconds. */
  private static final double DEFAULT_MEAN_MS = 30;

  /** The least cost of an endpoint in another availability zone, relative to the mean time. */
  private static final double MIN_OTHER_ZONE_COST = 0.1;

  /**
   * The range of the random term, relative to the mean time. Gateways learn of each other's calls
   * and of slow endpoints at about the same times; without it they all choose the same endpoint.
   */
  private static final double SPREAD = 0.75;

  /**
   * The age at which a peer's report counts no more, relative to the mean time. Older reports name
   * calls that have ended, and keep all gateways away from endpoints that are idle by now.
   */
  private static final double PEER_MEMORY = 0.75;

  private final ZoneName zone;
  private final double otherZoneCost;
  private final double memoryMs;

  /** The mean load of this zone's endpoints by calls of peers that do not count singly any more. */
  private final double hiddenHere;

  private final double hiddenElsewhere;
  private final long draw;
  private final long nowMs;

  /**
   * Creates the cost for one selection.
   *
   * @param candidates the endpoints that accept new requests
   * @param zone this gateway's availability zone
   * @param meanMs the mean time of the service's calls in milliseconds, zero if it is unknown
   * @param draw a pseudo-random number
   * @param nowMs the current time, in Unix milliseconds
   */
  CallCost(
      final List<EndpointState> candidates,
      final ZoneName zone,
      final double meanMs,
      final long draw,
      final long nowMs) {
    this.zone = zone;
    final double usualMs = meanMs > 0 ? meanMs : DEFAULT_MEAN_MS;
    // An idle endpoint of this zone is always preferred to an idle one of another zone.
    this.otherZoneCost = SPREAD + Math.max(MIN_OTHER_ZONE_COST, OTHER_ZONE_MS / usualMs);
    this.memoryMs = PEER_MEMORY * usualMs;
    this.draw = draw;
    this.nowMs = nowMs;
    double here = 0;
    double elsewhere = 0;
    int countHere = 0;
    for (final EndpointState state : candidates) {
      final double hidden =
          (state.inFlight(nowMs) - state.recentInFlight(memoryMs, nowMs)) / slots(state);
      if (isHere(state)) {
        here += hidden;
        countHere++;
      } else {
        elsewhere += hidden;
      }
    }
    this.hiddenHere = here / Math.max(1, countHere);
    this.hiddenElsewhere = elsewhere / Math.max(1, candidates.size() - countHere);
  }

  private boolean isHere(final EndpointState state) {
    return state.entry().zone().equals(zone);
  }

  private static int slots(final EndpointState state) {
    return Math.max(1, state.entry().slots());
  }

  @Override
  public CostTerms terms(final EndpointState state) {
    final boolean here = isHere(state);
    final double ahead =
        state.recentInFlight(memoryMs, nowMs) / slots(state)
            + (here ? hiddenHere : hiddenElsewhere);
    return new CostTerms(
        1,
        0,
        0,
        ahead,
        0,
        (ahead + 1) * (state.pace().at(nowMs) - EndpointPace.USUAL),
        here ? 0 : otherZoneCost,
        spread(state),
        0);
  }

  private double spread(final EndpointState state) {
    return SPREAD * (BitMixer.mix(draw ^ state.key()) >>> 1) / Long.MAX_VALUE;
  }
}
