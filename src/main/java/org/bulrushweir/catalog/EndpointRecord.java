package org.bulrushweir.catalog;

import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;

/**
 * An endpoint as it registered itself.
 *
 * @param id the id of the endpoint
 * @param service the service to which it belongs
 * @param host its IP address
 * @param port its port
 * @param zone its availability zone
 * @param slots the number of requests that it processes concurrently
 * @param draining whether it is about to leave and accepts no new requests
 * @param startedAtMs the start of its process in Unix milliseconds; a later value under the same id
 *     means that it has restarted and holds nothing of before
 */
public record EndpointRecord(
    EndpointId id,
    ServiceName service,
    String host,
    int port,
    ZoneName zone,
    int slots,
    boolean draining,
    long startedAtMs) {

  /**
   * Returns the registration with the state of an endpoint that is about to leave.
   *
   * @return a copy that accepts no new requests
   */
  public EndpointRecord asDraining() {
    return new EndpointRecord(id, service, host, port, zone, slots, true, startedAtMs);
  }

  /**
   * Returns whether another registration is of the same run of the endpoint.
   *
   * @param other the other registration
   * @return true if both state the same start
   */
  public boolean isSameRun(final EndpointRecord other) {
    return id.equals(other.id) && startedAtMs == other.startedAtMs;
  }
}
