package org.bulrushweir.catalog;

import org.bulrushweir.api.ServiceName;

/**
 * The part of the routing plan that describes a service.
 *
 * @param name the name of the service
 * @param maxConnections the number of connections that one of its endpoints accepts from all
 *     clients together
 * @param engine whether its endpoints are model engines
 * @param kvCapacityTokens the capacity of an engine's KV cache in tokens, zero if unknown
 * @param coldPerSecond the requests per second that a cold endpoint bears, zero for no limit
 */
public record ServicePlan(
    ServiceName name,
    int maxConnections,
    boolean engine,
    long kvCapacityTokens,
    double coldPerSecond) {}
