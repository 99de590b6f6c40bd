package org.bulrushweir.routing;

import org.bulrushweir.api.EndpointId;

/**
 * The state of an endpoint, as a router knows it, that the selection is based on.
 *
 * @param id the id of the endpoint
 * @param key the hash of its id
 * @param uptimeMs the uptime of its sidecar in milliseconds, {@link Long#MAX_VALUE} if unknown
 * @param suspect whether connections to it failed recently
 * @param load its load in its latest report, in work units, zero if there is none
 * @param loadAgeMs the age of that report in milliseconds, {@link Long#MAX_VALUE} if there is none
 * @param paceMicros its time per token in microseconds, zero if unknown
 */
public record EndpointView(
    EndpointId id,
    long key,
    long uptimeMs,
    boolean suspect,
    long load,
    long loadAgeMs,
    int paceMicros) {}
