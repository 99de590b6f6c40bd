package org.bulrushweir.routing;

import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ZoneName;

/**
 * What a router knows of an endpoint.
 *
 * @param id the endpoint
 * @param zone its availability zone
 * @param leaving whether it takes no new work
 */
public record EndpointView(EndpointId id, ZoneName zone, boolean leaving) {}
