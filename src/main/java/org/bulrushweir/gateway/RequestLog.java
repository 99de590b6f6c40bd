package org.bulrushweir.gateway;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.balancing.PlacementSnapshot;
import org.bulrushweir.balancing.PromptSegment;
import org.bulrushweir.catalog.ActivePlan;
import org.bulrushweir.catalog.RoutingPlan;
import org.bulrushweir.logging.AsyncLogWriter;
import org.bulrushweir.relay.ForwardingRule;
import org.bulrushweir.relay.UnexpectedBytes;

/**
 * Counts and logs the outcomes of requests and attempts.
 *
 * <p>Confined to the event loop.
 */
final class RequestLog {

  /** The outcome of a request whose caller closed its connection first. */
  static final String LEFT = "left";

  private static final long NOT_STARTED = -1;

  private final NodeId node;
  private final Clock clock;
  private final ActivePlan activePlan;
  private final GatewayMetrics metrics;
  private final AsyncLogWriter log;

  /**
   * Creates a log.
   *
   * @param node the id of this process
   * @param clock the process's clock
   * @param activePlan the active routing plan
   * @param metrics the metrics to update
   * @param log writes the entries
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
   * Records a request that was refused before any attempt.
   *
   * @param request the request's id, empty if it was not read
   * @param status the status sent to the caller
   * @param detail the reason
   */
  void recordRefusal(final String request, final int status, final String detail) {
    final String outcome = Integer.toString(status);
    metrics.recordOutcome("none", outcome);
    offer(
        "refused",
        request,
        "",
        Optional.empty(),
        Optional.empty(),
        withoutResponse(outcome, detail));
  }

  /**
   * Records a request whose caller had left before any attempt.
   *
   * @param request the request's id, empty if it has none
   */
  void recordLeftBeforeStart(final String request) {
    metrics.recordOutcome("none", LEFT);
    final RequestLogEntry.Result result =
        withoutResponse(LEFT, "the caller closed its connection before the first attempt");
    offer("request", request, "", Optional.empty(), Optional.empty(), result);
  }

  /**
   * Counts a request that does not go on at once after a wait.
   *
   * @param verdict what happens to it
   */
  void recordVerdict(final ForwardingRule.Verdict verdict) {
    if (verdict != ForwardingRule.Verdict.FORWARD) {
      metrics.recordHeldBack(verdict.name().toLowerCase(Locale.ROOT));
    }
  }

  /**
   * Records that the end of the process cuts off a request that was still delayed at its start.
   *
   * @param detail when the process stopped and when the request arrived
   */
  void recordCutOffBeforeStart(final String detail) {
    final RequestLogEntry.Result result = withoutResponse("cut off", detail);
    offer("request", "", "", Optional.empty(), Optional.empty(), result);
  }

  /**
   * Records the failure of a caller's connection.
   *
   * @param cause the exception
   */
  void recordCallerFailure(final Throwable cause) {
    final RequestLogEntry.Result result = withoutResponse("closed", cause.toString());
    offer("caller_failed", "", "", Optional.empty(), Optional.empty(), result);
  }

  /**
   * Records bytes from an endpoint that belong to no waiting request.
   *
   * @param endpoint the endpoint that sent the bytes
   * @param request the id of the waiting request or, on an idle connection, of the last one
   * @param kind what was unexpected
   */
  void recordUnexpectedBytes(
      final EndpointId endpoint, final String request, final UnexpectedBytes kind) {
    final String label = kind.name().toLowerCase(Locale.ROOT);
    metrics.recordUnexpectedBytes(label);
    offer(
        "unexpected_bytes",
        request,
        "",
        Optional.of(endpoint),
        Optional.empty(),
        withoutResponse(label, ""));
  }

  /**
   * Records an attempt without a complete response.
   *
   * @param routed the request
   * @param endpoint the endpoint of the attempt
   * @param placement the load and cache state of the endpoint before the attempt
   * @param responseStartMs the time at which the endpoint started to respond, in Unix milliseconds,
   *     empty if it did not
   * @param result the name of the failure, used as label value
   * @param detail the cause
   */
  void recordFailedAttempt(
      final RoutedRequest routed,
      final EndpointId endpoint,
      final PlacementSnapshot placement,
      final OptionalLong responseStartMs,
      final String result,
      final String detail) {
    metrics.recordFailedAttempt(result);
    final long firstMs =
        responseStartMs.isPresent()
            ? responseStartMs.getAsLong() - routed.arrivedMs()
            : NOT_STARTED;
    offer(
        "attempt_failed",
        routed.head().id(),
        routed.route().name(),
        Optional.of(endpoint),
        Optional.of(placement),
        PromptSegment.shared(routed.head().prompt()),
        new RequestLogEntry.Result(
            0,
            Optional.empty(),
            false,
            0,
            firstMs,
            clock.nowMs() - routed.arrivedMs(),
            result,
            detail));
  }

  /**
   * Records the end of a request.
   *
   * @param routed the request
   * @param result its result
   */
  void recordFinished(final RoutedRequest routed, final ExchangeResult result) {
    final long totalMs = clock.nowMs() - routed.arrivedMs();
    metrics.recordRequest(routed.route().kind(), result.outcome(), totalMs);
    long firstMs = NOT_STARTED;
    if (result.responseStartMs() >= 0) {
      firstMs = result.responseStartMs() - routed.arrivedMs();
      metrics.recordFirstByte(routed.route().kind(), firstMs);
    }
    offer(
        "request",
        routed.head().id(),
        routed.route().name(),
        result.endpoint(),
        result.placement(),
        new RequestLogEntry.Result(
            result.status(),
            result.framing(),
            result.insideEvent(),
            result.attempts(),
            firstMs,
            totalMs,
            result.outcome(),
            result.detail()));
  }

  /**
   * Records how far the expected time of an attempt was from the actual one.
   *
   * @param expectedMs the expected time to the first event or end, in milliseconds
   * @param actualMs the actual time, in milliseconds
   */
  void recordExpectation(final long expectedMs, final long actualMs) {
    metrics.recordExpectationError(Math.abs(actualMs - expectedMs));
  }

  private static RequestLogEntry.Result withoutResponse(final String outcome, final String detail) {
    return new RequestLogEntry.Result(
        0, Optional.empty(), false, 0, NOT_STARTED, 0, outcome, detail);
  }

  private void offer(
      final String event,
      final String request,
      final String route,
      final Optional<EndpointId> endpoint,
      final Optional<PlacementSnapshot> placement,
      final RequestLogEntry.Result result) {
    offer(event, request, route, endpoint, placement, List.of(), result);
  }

  private void offer(
      final String event,
      final String request,
      final String route,
      final Optional<EndpointId> endpoint,
      final Optional<PlacementSnapshot> placement,
      final List<PromptSegment> sharedSegments,
      final RequestLogEntry.Result result) {
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
            sharedSegments,
            activePlan.current().map(RoutingPlan::version).orElse(0L),
            activePlan.confirmationAgeMs(nowMs),
            result));
  }
}
