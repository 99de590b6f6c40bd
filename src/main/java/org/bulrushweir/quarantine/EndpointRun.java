package org.bulrushweir.quarantine;

import org.bulrushweir.api.EndpointId;

/**
 * Identifies one life of an endpoint's process.
 *
 * @param endpoint the endpoint
 * @param startedAtMs the start of its process, in Unix milliseconds by the endpoint's clock
 */
public record EndpointRun(EndpointId endpoint, long startedAtMs) {}
