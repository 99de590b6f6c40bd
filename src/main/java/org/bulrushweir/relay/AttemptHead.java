package org.bulrushweir.relay;

import java.util.Optional;
import java.util.OptionalLong;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.catalog.EndpointRecord;

/**
 * Says what a router adds to a request that it sends to an endpoint.
 *
 * @param endpoint the endpoint that must run it; another one at that address refuses
 * @param organisation on whose behalf it is sent, empty on open routes
 * @param timeLeftMs how long the endpoint may work on it, in milliseconds
 * @param priority its rank, 0 is the most urgent
 * @param resumeAfter the id of the event after which the answer is to go on
 * @param cacheSource an engine that can hand over what the endpoint lacks of the prompt
 */
public record AttemptHead(
    EndpointId endpoint,
    Optional<OrganisationId> organisation,
    long timeLeftMs,
    int priority,
    OptionalLong resumeAfter,
    Optional<EndpointRecord> cacheSource) {}
