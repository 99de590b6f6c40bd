package org.bulrushweir.quarantine;

import java.util.Set;

/**
 * A crash of an endpoint as one gateway saw it.
 *
 * @param run the life of the endpoint that ended
 * @param ageMs the time since the crash was first seen, in milliseconds
 * @param suspects the ids of the shared prompt segments that the endpoint had just begun to answer
 *     or was about to
 */
public record EndpointCrash(EndpointRun run, long ageMs, Set<Long> suspects) {}
