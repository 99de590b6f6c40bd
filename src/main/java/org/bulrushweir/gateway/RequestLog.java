package org.bulrushweir.gateway;

import java.util.Optional;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.balancing.PlacementSnapshot;
import org.bulrushweir.catalog.ActivePlan;
import org.bulrushweir.catalog.RoutingPlan;
import org.bulrushweir.logging.AsyncLogWriter;

/** Counts and logs what becomes of requests; used on the event loop only. */
final class RequestLog {

  private static final long NOT_BEGUN = -1;

  private final NodeId node;
  private final Clock clock;
  private final ActivePlan activePlan;
  private final GatewayMetrics metrics;
  private final AsyncLogWriter log;

  /**
   * Creates a log.
   *
   * @param node the process's id
   * @param clock the clock
   * @param activePlan holds the plan in force
   * @param metrics the metrics
   * @param log takes a line for each decision
   */
  RequestLog(
      final NodeId node,
      final Clock clock,
      final ActivePlan activePlan,
      final GatewayMetrics metrics,
      final AsyncLogWriter log) {
    this.node = node;
    this.clock = clock;
    this.activePlan = activePlan;
    this.metrics = metrics;
    this.log = log;
  }

  /**
   * Notes that a request was refused before it was offered to an endpoint.
   *
   * @param request the request's id, empty if it was not read
   * @param status the status that the caller gets
   * @param detail why
   */
  void refused(final String request, final int status, final String detail) {
    final String outcome = Integer.toString(status);
    metrics.recordOutcome("none", outcome);
    offer("refused", request, "", Optional.empty(), Optional.empty(), unanswered(outcome, detail));
  }

  /**
   * Notes that a caller's connection failed.
   *
   * @param cause what happened
   */
  void callerFailed(final Throwable cause) {
    final RequestLogEntry.Result end = unanswered("closed", cause.toString());
    offer("caller_failed", "", "", Optional.empty(), Optional.empty(), end);
  }

  /**
   * Notes an attempt without a whole answer.
   *
   * @param order the request
   * @param endpoint where it was sent
   * @param placement what was known of the endpoint
   * @param result what became of it
   * @param detail what happened
   */
  void attemptFailed(
      final RoutedRequest order,
      final EndpointId endpoint,
      final PlacementSnapshot placement,
      final String result,
      final String detail) {
    metrics.recordFailedAttempt(result);
    offer(
        "attempt_failed",
        order.head().id(),
        order.route().name(),
        Optional.of(endpoint),
        Optional.of(placement),
        new RequestLogEntry.Result(
            0, 0, NOT_BEGUN, clock.nowMs() - order.arrivedMs(), result, detail));
  }

  /**
   * Notes the end of a request.
   *
   * @param order the request
   * @param result how it came to its end
   */
  void finished(final RoutedRequest order, final ExchangeResult result) {
    final long totalMs = clock.nowMs() - order.arrivedMs();
    metrics.recordRequest(order.route().kind(), result.outcome(), totalMs);
    long firstMs = NOT_BEGUN;
    if (result.firstPartMs() >= 0) {
      firstMs = result.firstPartMs() - order.arrivedMs();
      metrics.recordFirstByte(order.route().kind(), firstMs);
    }
    offer(
        "request",
        order.head().id(),
        order.route().name(),
        result.endpoint(),
        result.placement(),
        new RequestLogEntry.Result(
            result.status(),
            result.attempts(),
            firstMs,
            totalMs,
            result.outcome(),
            result.detail()));
  }

  private static RequestLogEntry.Result unanswered(final String outcome, final String detail) {
    return new RequestLogEntry.Result(0, 0, NOT_BEGUN, 0, outcome, detail);
  }

  private void offer(
      final String event,
      final String request,
      final String route,
      final Optional<EndpointId> endpoint,
      final Optional<PlacementSnapshot> placement,
      final RequestLogEntry.Result end) {
    final long nowMs = clock.nowMs();
    log.offer(
        new RequestLogEntry(
            nowMs,
            node,
            event,
            request,
            route,
            endpoint,
            placement,
            activePlan.current().map(RoutingPlan::version).orElse(0L),
            activePlan.confirmationAgeMs(nowMs),
            end));
  }
}
