package org.bulrushweir.gateway;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.balancing.PromptSegment;
import org.bulrushweir.catalog.ActivePlan;
import org.bulrushweir.catalog.RequestKind;
import org.bulrushweir.catalog.Route;
import org.bulrushweir.catalog.RoutingPlan;
import org.bulrushweir.catalog.Tenant;
import org.bulrushweir.relay.DrainPolicy;
import org.bulrushweir.relay.RelayLimits;
import org.bulrushweir.relay.RequestHead;
import org.bulrushweir.routing.BitMixer;

/** Decides whether a caller's request is served, and by which route and within which limits. */
final class RequestAdmission {

  /** The decision on a request whose head can't be read. */
  static final Rejected INVALID =
      new Rejected(
          HttpResponseStatus.BAD_REQUEST,
          "invalid path, Host, Authorization or request id header",
          0);

  /**
   * The lower bound of the {@code Retry-After} delay of a 503, in milliseconds; {@link
   * #MAX_RETRY_AFTER_MS} is the upper one. The changes that cause it take seconds; the delay is
   * random so that refused callers do not retry all at once.
   */
  private static final long MIN_RETRY_AFTER_MS = 200;

  private static final long MAX_RETRY_AFTER_MS = 600;

  /**
   * The least time allowed to a retryable non-stream request until its response is complete or
   * exceeds the buffer, in milliseconds. {@link ExchangeAttempt} holds the response back until
   * then.
   */
  private static final long MIN_CALL_STALL_TIMEOUT_MS = 400;

  /**
   * The time allowed to a retryable non-stream request until its response is complete or exceeds
   * the buffer, as a multiple of its route's latency target.
   */
  private static final long CALL_STALL_TARGET_MULTIPLE = 3;

  /**
   * The time allowed to a retryable stream before the head of its response, as a multiple of its
   * route's latency target.
   */
  private static final long FIRST_EVENT_TARGET_MULTIPLE = 2;

  /**
   * The time without data after which a resumable stream is resumed at another endpoint, in
   * milliseconds; callers close an idle stream after 2 s.
   */
  private static final long EVENT_STALL_TIMEOUT_MS = 1_000;

  /**
   * The {@code Retry-After} delay for a request that would crash an engine, in milliseconds; the
   * segment has to change first.
   */
  private static final long QUARANTINE_RETRY_AFTER_MS = 60_000;

  private final Clock clock;
  private final ActivePlan activePlan;
  private final AttemptPlanner planner;
  private final DrainPolicy drainPolicy;

  /**
   * Creates the decision.
   *
   * @param clock the process's clock
   * @param activePlan the active routing plan
   * @param planner knows the prompt segments that are kept away from engines
   * @param drainPolicy decides which requests are accepted while the process drains
   */
  RequestAdmission(
      final Clock clock,
      final ActivePlan activePlan,
      final AttemptPlanner planner,
      final DrainPolicy drainPolicy) {
    this.clock = clock;
    this.activePlan = activePlan;
    this.planner = planner;
    this.drainPolicy = drainPolicy;
  }

  /** What happens to a request. */
  sealed interface Decision {}

  /**
   * The request is served.
   *
   * @param request the request with its route and limits
   */
  record Admitted(RoutedRequest request) implements Decision {}

  /**
   * The request is refused.
   *
   * @param status the status of the response
   * @param detail the reason, for the log
   * @param retryAfterMs the {@code Retry-After} delay, in milliseconds, zero to send none
   */
  record Rejected(HttpResponseStatus status, String detail, long retryAfterMs)
      implements Decision {}

  /**
   * Decides on a request.
   *
   * @param head the request's head
   * @param arrivedMs the earliest time at which it may have arrived, in Unix milliseconds
   * @param drainingForMs the time since the stop signal, in milliseconds, empty without one
   * @param exiting whether the process is about to exit
   * @return the decision
   */
  Decision decide(
      final RequestHead head,
      final long arrivedMs,
      final OptionalLong drainingForMs,
      final boolean exiting) {
    return decideFor(
        head,
        plan -> head.apiKey().flatMap(plan::tenant),
        prompt -> planner.findQuarantined(prompt, clock.nowMs()),
        arrivedMs,
        drainingForMs,
        exiting);
  }

  /**
   * Tells what would be decided on a request of an organisation that arrived now. Changes nothing.
   *
   * @param head the request's head
   * @param organisation the organisation, empty for a request without a key
   * @param drainingForMs the time since the stop signal, in milliseconds, empty without one
   * @param exiting whether the process is about to exit
   * @return the decision
   */
  Decision preview(
      final RequestHead head,
      final Optional<OrganisationId> organisation,
      final OptionalLong drainingForMs,
      final boolean exiting) {
    return decideFor(
        head,
        plan -> organisation.flatMap(plan::tenantNamed),
        planner::previewQuarantined,
        clock.nowMs(),
        drainingForMs,
        exiting);
  }

  private Decision decideFor(
      final RequestHead head,
      final Function<RoutingPlan, Optional<Tenant>> tenants,
      final Function<List<PromptSegment>, OptionalLong> quarantine,
      final long arrivedMs,
      final OptionalLong drainingForMs,
      final boolean exiting) {
    if (activePlan.current().isEmpty()) {
      return unavailable("no configuration has been read yet");
    }
    if (activePlan.isBehindSinceStart(clock.nowMs())) {
      return unavailable("a peer has a newer configuration");
    }
    final RoutingPlan plan = activePlan.current().get();
    final Optional<Route> route = plan.route(head.host(), head.path());
    if (route.isEmpty()) {
      return denied(HttpResponseStatus.NOT_FOUND, "no matching route");
    }
    final Optional<Tenant> tenant = tenants.apply(plan);
    if (!route.get().open() && plan.requiresApiKeys() && tenant.isEmpty()) {
      return denied(HttpResponseStatus.UNAUTHORIZED, "no valid key");
    }
    if (drainingForMs.isPresent()
        && (exiting || !canFinishBeforeExit(route.get(), head, drainingForMs.getAsLong()))) {
      return unavailable(stopDetail(drainingForMs.getAsLong(), drainingForMs.getAsLong()));
    }
    final OptionalLong quarantined = quarantine.apply(head.prompt());
    if (quarantined.isPresent()) {
      return new Rejected(
          HttpResponseStatus.SERVICE_UNAVAILABLE,
          "engines crash under segment "
              + Long.toHexString(quarantined.getAsLong())
              + " of the prompt",
          QUARANTINE_RETRY_AFTER_MS);
    }
    return new Admitted(routedRequest(plan, head, route.get(), tenant, arrivedMs));
  }

  private boolean canFinishBeforeExit(
      final Route route, final RequestHead head, final long drainingForMs) {
    return drainPolicy.accepts(
        route.kind(), head.outputTokens(), timeLimitMs(route, head), drainingForMs);
  }

  private static long timeLimitMs(final Route route, final RequestHead head) {
    return Math.min(route.timeoutMs(), head.timeoutMs().orElse(route.timeoutMs()));
  }

  /**
   * Rejects a request for good, or for now while the active plan may be outdated: the newest plan
   * may contain the route or key.
   */
  private Rejected denied(final HttpResponseStatus status, final String detail) {
    return activePlan.isConfirmed(clock.nowMs())
        ? new Rejected(status, detail, 0)
        : unavailable(detail);
  }

  private static Rejected unavailable(final String detail) {
    return new Rejected(HttpResponseStatus.SERVICE_UNAVAILABLE, detail, randomRetryAfterMs());
  }

  private RoutedRequest routedRequest(
      final RoutingPlan plan,
      final RequestHead head,
      final Route route,
      final Optional<Tenant> tenant,
      final long arrivedMs) {
    final ServiceName service = route.serviceFor(BitMixer.mix(head.id().hashCode()));
    final boolean stream = route.kind() == RequestKind.STREAM;
    final long callStallTimeoutMs =
        Math.max(MIN_CALL_STALL_TIMEOUT_MS, CALL_STALL_TARGET_MULTIPLE * route.latencyTargetMs());
    final RelayLimits limits =
        new RelayLimits(
            route.retryable(),
            stream && route.resumable(),
            route.maxAttempts(),
            arrivedMs + timeLimitMs(route, head),
            stream ? FIRST_EVENT_TARGET_MULTIPLE * route.latencyTargetMs() : callStallTimeoutMs,
            stream ? EVENT_STALL_TIMEOUT_MS : callStallTimeoutMs,
            stream || !route.retryable()
                ? Long.MAX_VALUE
                : planner.secondAttemptMs(service, route.latencyTargetMs()));
    final int routePriority = route.priority();
    return new RoutedRequest(
        head,
        route,
        service,
        tenant.map(Tenant::organisation),
        tenant.map(holder -> holder.priority().orElse(routePriority)).orElse(routePriority),
        limits,
        clock.nowMs(),
        plan.version());
  }

  /**
   * Describes a request that is affected by the end of the process, for the log.
   *
   * @param drainingForMs how long the process has been draining, in milliseconds
   * @param arrivedAfterMs when in that time the request arrived, in milliseconds
   * @return the text
   */
  static String stopDetail(final long drainingForMs, final long arrivedAfterMs) {
    return "draining for "
        + drainingForMs
        + " ms; the request arrived "
        + arrivedAfterMs
        + " ms after the stop signal";
  }

  static long randomRetryAfterMs() {
    return ThreadLocalRandom.current().nextLong(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
  }
}
