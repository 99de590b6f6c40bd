package org.bulrushweir.gateway;

import java.util.Optional;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.balancing.RequestProfile;
import org.bulrushweir.catalog.RequestKind;
import org.bulrushweir.catalog.Route;
import org.bulrushweir.relay.RelayLimits;
import org.bulrushweir.relay.RequestHead;

/**
 * A request with its route, its chosen service and its limits.
 *
 * @param head the request's id, host, path, prompt and other headers
 * @param route the matching route
 * @param service the service chosen among those of the route
 * @param organisation the organisation that the request is sent for, empty without a valid key
 * @param priority the priority, 0 is the most urgent
 * @param limits the limits on time, retries and resumption
 * @param arrivedMs the time at which the received request was matched to its route, in Unix
 *     milliseconds; the base of all its durations
 * @param planVersion the version of the routing plan that was applied
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
   * The longest idle time of a connection that a non-idempotent request is sent on, in
   * milliseconds. Endpoints close idle connections without notice, and a connection reset does not
   * prove that the request was not run.
   */
  private static final long UNSAFE_MAX_IDLE_MS = 1_000;

  /**
   * Returns this request with the durations counted from another time.
   *
   * @param fromMs the time at which it was first matched to its route, in Unix milliseconds
   * @return the request
   */
  RoutedRequest countedFrom(final long fromMs) {
    return new RoutedRequest(
        head, route, service, organisation, priority, limits, fromMs, planVersion);
  }

  /**
   * Returns what the selection of an endpoint considers.
   *
   * @return the request's service, prompt, expected output and target
   */
  RequestProfile profile() {
    return new RequestProfile(
        service, head.prompt(), head.reservedOutputTokens(), arrivedMs + route.latencyTargetMs());
  }

  /**
   * Returns whether the response is a stream of events.
   *
   * @return false if it is a whole
   */
  boolean isStream() {
    return route.kind() == RequestKind.STREAM;
  }

  /**
   * Returns whether the response is buffered until it is complete.
   *
   * @return true for all kinds of requests except streams
   */
  boolean buffersResponse() {
    return !isStream();
  }

  /**
   * Returns whether only complete events are forwarded.
   *
   * @return true for streams that may be resumed at another endpoint
   */
  boolean forwardsCompleteEvents() {
    return limits.resumable();
  }

  /**
   * Returns the longest time for which the connection to the endpoint may have been idle.
   *
   * @return the time in milliseconds
   */
  long maxConnectionIdleMs() {
    return limits.retryable() ? Long.MAX_VALUE : UNSAFE_MAX_IDLE_MS;
  }
}
