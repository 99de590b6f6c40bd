package org.bulrushweir.gateway;

import java.util.Optional;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.balancing.PlacementSnapshot;

/**
 * Says how a request came to its end.
 *
 * @param endpoint the last endpoint that it was sent to
 * @param placement what was known of that endpoint
 * @param status the status of that endpoint's answer, zero without one
 * @param attempts how many attempts there were
 * @param outcome what the caller got
 * @param detail what happened
 * @param firstPartMs when the answer began, negative if it did not
 */
record ExchangeResult(
    Optional<EndpointId> endpoint,
    Optional<PlacementSnapshot> placement,
    int status,
    int attempts,
    String outcome,
    String detail,
    long firstPartMs) {}
