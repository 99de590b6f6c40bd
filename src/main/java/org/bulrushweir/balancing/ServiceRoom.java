package org.bulrushweir.balancing;

/**
 * The room of the endpoints of a service, as one gateway knows it.
 *
 * @param endpoints the number of endpoints that accept new requests
 * @param places the number of requests that they process concurrently
 * @param inFlight the number of requests of all gateways that they have
 */
public record ServiceRoom(int endpoints, int places, int inFlight) {

  /**
   * Returns the number of requests that can start at once.
   *
   * @return the free places, zero if requests already wait for one
   */
  public int free() {
    return Math.max(0, places - inFlight);
  }
}
