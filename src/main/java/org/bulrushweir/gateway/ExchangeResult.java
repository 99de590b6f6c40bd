package org.bulrushweir.gateway;

import java.util.Optional;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.balancing.PlacementSnapshot;
import org.bulrushweir.relay.ResponseFraming;

/**
 * The result of a request.
 *
 * @param endpoint the endpoint of the last attempt, empty if there was none
 * @param placement the load and cache state of that endpoint before the attempt, empty if there was
 *     none
 * @param status the status of that endpoint's response, zero without one
 * @param framing by what the end of that endpoint's response is recognised, empty without one
 * @param insideEvent whether the response is a stream that ended inside an event
 * @param attempts the number of attempts
 * @param outcome the outcome as named in metrics and in the request log
 * @param detail the cause of a failure, for the log; empty for a complete response
 * @param responseStartMs the time at which the response started, in Unix milliseconds, negative if
 *     it did not
 */
record ExchangeResult(
    Optional<EndpointId> endpoint,
    Optional<PlacementSnapshot> placement,
    int status,
    Optional<ResponseFraming> framing,
    boolean insideEvent,
    int attempts,
    String outcome,
    String detail,
    long responseStartMs) {}
