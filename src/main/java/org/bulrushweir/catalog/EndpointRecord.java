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
 * @param coldForMs how long it stays cold from its registration, in milliseconds, zero if it is
 *     warm
 */
public record EndpointRecord(
    EndpointId id,
    ServiceName service,
    String host,
    int port,
    ZoneName zone,
    int slots,
    boolean draining,
    long startedAtMs,
    long coldForMs) {

  /**
   * Creates the registration of a warm endpoint.
   *
   * @param id the id of the endpoint
   * @param service the service to which it belongs
   * @param host its IP address
   * @param port its port
   * @param zone its availability zone
   * @param slots the number of requests that it processes concurrently
   * @param draining whether it is about to leave and accepts no new requests
   * @param startedAtMs the start of its process in Unix milliseconds
   */
  public EndpointRecord(
      final EndpointId id,
      final ServiceName service,
      final String host,
      final int port,
      final ZoneName zone,
      final int slots,
      final boolean draining,
      final long startedAtMs) {
    this(id, service, host, port, zone, slots, draining, startedAtMs, 0);
  }

  /**
   * Returns the registration with the state of an endpoint that is about to leave.
   *
   * @return a copy that accepts no new requests
   */
  public EndpointRecord asDraining() {
    return new EndpointRecord(id, service, host, port, zone, slots, true, startedAtMs, coldForMs);
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
