package org.bulrushweir.catalog;

import org.bulrushweir.api.ServiceName;

/**
 * A service that receives a share of the requests of a route.
 *
 * @param service the service
 * @param weight its share, relative to the other weights of the route
 */
public record WeightedService(ServiceName service, int weight) {}
