package org.bulrushweir.dispatch;

import org.bulrushweir.balancing.ServiceRoom;

/**
 * The load of a service as one gateway knows it.
 *
 * @param room the slots, and the requests in flight of all gateways
 * @param ownInFlight the requests in flight of this gateway
 * @param gateways the number of gateways that send requests to the service, this one included
 * @param prefillMs the time that the engine with the shortest backlog needs to prefill it, in
 *     milliseconds, zero at plain services
 */
public record ServiceLoad(ServiceRoom room, int ownInFlight, int gateways, long prefillMs) {

  /**
   * Returns this load with the prefill backlog of the engines.
   *
   * @param newPrefillMs the shortest time in which an engine finishes what it has, in milliseconds
   * @return the load
   */
  public ServiceLoad withPrefill(final long newPrefillMs) {
    return new ServiceLoad(room, ownInFlight, gateways, newPrefillMs);
  }

  /**
   * Returns the requests in flight of the peers.
   *
   * @return the number, as they last reported it
   */
  int peersInFlight() {
    return Math.max(0, room.inFlight() - ownInFlight);
  }

  /**
   * Returns this gateway's part of a quantity of the service: an equal part, or what the peers
   * leave. The equal part is safe against outdated reports, which would otherwise let all gateways
   * hold requests while slots are idle.
   *
   * @param total the quantity, in requests
   * @return the part, in requests
   */
  double ownPart(final double total) {
    return Math.max(total / Math.max(1, gateways), total - peersInFlight());
  }

  boolean isScarce() {
    return room.inFlight() >= room.places();
  }

  /**
   * Returns whether at least half of the slots are taken; otherwise nothing is rejected.
   *
   * @return true if so
   */
  public boolean isHalfTaken() {
    return 2L * room.inFlight() >= room.places();
  }
}
