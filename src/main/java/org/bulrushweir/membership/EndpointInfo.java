package org.bulrushweir.membership;

import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;

/**
 * Describes the properties of an endpoint that are constant during one incarnation of its sidecar;
 * called the endpoint's description.
 *
 * @param id the endpoint
 * @param host the IP address of its sidecar
 * @param port the port on which its sidecar accepts peer connections
 * @param zone its availability zone
 * @param service the service that it belongs to
 */
public record EndpointInfo(
    EndpointId id, String host, int port, ZoneName zone, ServiceName service) {}
