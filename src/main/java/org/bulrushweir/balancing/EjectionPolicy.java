package org.bulrushweir.balancing;

import java.util.List;

/**
 * Decides which endpoints of a service are avoided because of their failures. It answers the load
 * of a day on which a large part of the engines fail some of their requests at once: without a
 * limit each gateway ejects most of them in turns, their prompts move to the few that are left, and
 * these prefill what the others still have in their caches.
 */
final class EjectionPolicy {

  /**
   * The largest share of a service's endpoints that are ejected because of failed requests. If more
   * of them fail, the cause is not with single endpoints, and others would serve no better.
   */
  private static final double MAX_EJECTED_SHARE = 0.25;

  private final boolean limitExceeded;
  private final long nowMs;

  /**
   * Creates the policy for one selection.
   *
   * @param candidates the endpoints of the service that accept new requests
   * @param nowMs the current time, in Unix milliseconds
   */
  EjectionPolicy(final List<EndpointState> candidates, final long nowMs) {
    this.nowMs = nowMs;
    int failing = 0;
    for (final EndpointState state : candidates) {
      failing += state.isSuspect(nowMs) && !state.isUnreachable(nowMs) ? 1 : 0;
    }
    this.limitExceeded = failing > Math.max(1, MAX_EJECTED_SHARE * candidates.size());
  }

  /**
   * Returns whether other endpoints are preferred to an endpoint.
   *
   * @param state the endpoint
   * @return true if it is unreachable, or if it fails requests and most others do not
   */
  boolean avoids(final EndpointState state) {
    return limitExceeded ? state.isUnreachable(nowMs) : state.isSuspect(nowMs);
  }
}
