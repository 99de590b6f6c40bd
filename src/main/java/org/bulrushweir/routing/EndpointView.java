package org.bulrushweir.routing;

import org.bulrushweir.api.EndpointId;

/**
 * What a router knows of an endpoint that takes work.
 *
 * @param id the endpoint
 * @param key the hash of its id
 * @param uptimeMs for how long its sidecar has run, {@link Long#MAX_VALUE} if unknown, in
 *     milliseconds
 * @param suspect whether it could not be reached lately
 * @param load the work that it carried when it last reported, in work units
 * @param loadAgeMs how old that report is, {@link Long#MAX_VALUE} if there is none
 * @param paceMicros how long it takes per token, in microseconds, zero if unknown
 */
public record EndpointView(
    EndpointId id,
    long key,
    long uptimeMs,
    boolean suspect,
    long load,
    long loadAgeMs,
    int paceMicros) {}
