package org.bulrushweir.relay;

import java.util.Optional;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.catalog.EndpointRecord;

/**
 * The values that a router adds to a request when it sends it to an endpoint.
 *
 * @param endpoint the endpoint that is to run the request; any other one at the address refuses it
 * @param organisation the organisation on whose behalf the request is sent, empty on open routes
 * @param timeLeftMs the time until the request's deadline, in milliseconds
 * @param priority the priority of the request; 0 is the most urgent
 * @param resumeAfter the id of the event after which the stream resumes, empty to start at the
 *     first event
 * @param cacheSource the engine that can transfer the part of the prompt that the endpoint has not
 *     cached, empty if there is none
 */
public record AttemptHead(
    EndpointId endpoint,
    Optional<OrganisationId> organisation,
    long timeLeftMs,
    int priority,
    Optional<EventId> resumeAfter,
    Optional<EndpointRecord> cacheSource) {}
