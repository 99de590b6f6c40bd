package org.bulrushweir.balancing;

import java.util.List;

/**
 * The room of the endpoints of a service, as one gateway knows it.
 *
 * @param endpoints the number of endpoints that accept new requests
 * @param places the number of requests that they process concurrently
 * @param inFlight the number of requests of all gateways that they have
 */
public record ServiceRoom(int endpoints, int places, int inFlight) {

  /**
   * Adds up the room of endpoints.
   *
   * @param candidates the endpoints that accept new requests
   * @param nowMs the current time, in Unix milliseconds
   * @return the room of those that are not held off
   */
  static ServiceRoom of(final List<EndpointState> candidates, final long nowMs) {
    int endpoints = 0;
    int places = 0;
    int inFlight = 0;
    for (final EndpointState state : candidates) {
      if (state.health().heldOffForMs(nowMs) == 0) {
        endpoints++;
        places += state.entry().slots();
        inFlight += state.inFlight(nowMs);
      }
    }
    return new ServiceRoom(endpoints, places, inFlight);
  }

  /**
   * Returns the number of requests that can start at once.
   *
   * @return the free places, zero if requests already wait for one
   */
  public int free() {
    return Math.max(0, places - inFlight);
  }
}
