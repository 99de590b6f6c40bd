package org.bulrushweir.catalog;

import org.bulrushweir.api.ServiceName;

/**
 * Names a service that takes a share of a route's requests.
 *
 * @param service the service
 * @param weight its share, relative to the other weights of the route
 */
public record WeightedService(ServiceName service, int weight) {}
