package org.bulrushweir.membership;

import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;

/**
 * Describes what does not change about an endpoint while its sidecar lives.
 *
 * @param id the endpoint
 * @param host the IP number of its sidecar
 * @param port the port at which its sidecar takes connections
 * @param zone its availability zone
 * @param service the service that it belongs to
 */
public record EndpointInfo(
    EndpointId id, String host, int port, ZoneName zone, ServiceName service) {}
