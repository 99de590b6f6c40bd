package org.bulrushweir.catalog;

import org.bulrushweir.api.ServiceName;

/**
 * Describes a service.
 *
 * @param name its name
 * @param maxConnections how many connections an endpoint takes from all callers together
 * @param engine whether its endpoints are model engines
 * @param kvCapacityTokens how many tokens an engine keeps in memory, zero if unknown
 */
public record ServicePlan(
    ServiceName name, int maxConnections, boolean engine, long kvCapacityTokens) {}
