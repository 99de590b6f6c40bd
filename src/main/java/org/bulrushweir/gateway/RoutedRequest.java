package org.bulrushweir.gateway;

import java.util.Optional;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.catalog.RequestKind;
import org.bulrushweir.catalog.Route;
import org.bulrushweir.relay.RelayLimits;
import org.bulrushweir.relay.RequestHead;

/**
 * Says what is to be done for a request.
 *
 * @param head the request's head
 * @param route its route
 * @param service the service that it goes to
 * @param organisation on whose behalf, empty on open routes
 * @param priority its rank, 0 is the most urgent
 * @param limits its limits
 * @param arrivedMs when it was read
 * @param planVersion the version of the plan that decided
 */
record RoutedRequest(
    RequestHead head,
    Route route,
    ServiceName service,
    Optional<OrganisationId> organisation,
    int priority,
    RelayLimits limits,
    long arrivedMs,
    long planVersion) {

  /**
   * For how long a connection may have been idle to take a request that must not repeat, in
   * milliseconds: endpoints drop idle connections without notice, and a reset proves nothing.
   */
  private static final long UNSAFE_MAX_IDLE_MS = 1_000;

  /**
   * Tells whether the answer is passed on only when it is whole.
   *
   * @return true for all answers but streams
   */
  boolean holdsAnswer() {
    return route.kind() != RequestKind.STREAM;
  }

  /**
   * Tells whether only whole events are passed on.
   *
   * @return true for streams that can go on at another endpoint
   */
  boolean cutsEvents() {
    return limits.resumable();
  }

  /**
   * Returns for how long the connection that the request is sent on may have been idle.
   *
   * @return the time in milliseconds
   */
  long maxIdleMs() {
    return limits.retryable() ? Long.MAX_VALUE : UNSAFE_MAX_IDLE_MS;
  }
}
