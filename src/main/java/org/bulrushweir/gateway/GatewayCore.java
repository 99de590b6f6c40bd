package org.bulrushweir.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.bulrushweir.api.Clock;
import org.bulrushweir.catalog.ActivePlan;
import org.bulrushweir.catalog.CallerLimits;
import org.bulrushweir.catalog.RequestKind;
import org.bulrushweir.catalog.Route;
import org.bulrushweir.catalog.RoutingPlan;
import org.bulrushweir.catalog.Tenant;
import org.bulrushweir.platform.RequestTranslator;
import org.bulrushweir.relay.DrainPolicy;
import org.bulrushweir.relay.ForwardingRule;
import org.bulrushweir.relay.PollMonitor;
import org.bulrushweir.relay.RelayLimits;
import org.bulrushweir.relay.RequestHead;
import org.bulrushweir.routing.BitMixer;

/**
 * Accepts callers' requests and starts their exchanges.
 *
 * <p>Confined to the event loop.
 */
final class GatewayCore {

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

  private static final long NOT_DRAINING = -1;

  /** Stands for the deadline of a request that has not been matched to its route. */
  private static final long NO_DEADLINE = Long.MAX_VALUE;

  private final Set<CallerHandler> connections = new HashSet<>();
  private final Clock clock;
  private final EventLoop loop;
  private final ActivePlan activePlan;
  private final AttemptPlanner planner;
  private final ConnectionPool pool;
  private final RequestLog log;
  private final CrashDetector crashDetector;
  private final DrainPolicy drainPolicy;
  private final StartGate gate;
  private final PollMonitor polls;
  private long drainingSinceMs = NOT_DRAINING;
  private boolean exiting;
  private int inFlight;
  private long lastConnectionOpenedMs;

  /**
   * Creates the core of a gateway.
   *
   * @param clock the process's clock
   * @param loop the event loop that runs all of the gateway's work
   * @param activePlan the active routing plan
   * @param planner selects endpoints and tracks attempts
   * @param pool holds connections to endpoints
   * @param drainPolicy decides which requests are accepted while the process drains
   * @param crashDetector finds out whether endpoints have crashed
   * @param gate delays requests until the store's tables have been read
   * @param polls the monitor of the event loop's polls
   * @param log counts and logs the outcomes of requests
   */
  GatewayCore(
      final Clock clock,
      final EventLoop loop,
      final ActivePlan activePlan,
      final AttemptPlanner planner,
      final ConnectionPool pool,
      final CrashDetector crashDetector,
      final DrainPolicy drainPolicy,
      final StartGate gate,
      final PollMonitor polls,
      final RequestLog log) {
    this.clock = clock;
    this.loop = loop;
    this.activePlan = activePlan;
    this.planner = planner;
    this.pool = pool;
    this.crashDetector = crashDetector;
    this.drainPolicy = drainPolicy;
    this.gate = gate;
    this.polls = polls;
    this.log = log;
  }

  long nowMs() {
    return clock.nowMs();
  }

  EventLoop loop() {
    return loop;
  }

  AttemptPlanner planner() {
    return planner;
  }

  ConnectionPool pool() {
    return pool;
  }

  CrashDetector crashDetector() {
    return crashDetector;
  }

  /** Ends the attempts that would crash their endpoints. */
  void cancelQuarantined() {
    List.copyOf(connections).forEach(CallerHandler::cancelIfQuarantined);
  }

  CallerLimits limits() {
    return activePlan.current().map(RoutingPlan::limits).orElse(CallerLimits.DEFAULT);
  }

  /**
   * Returns whether this process accepts new requests.
   *
   * @return false until the first plan is active and the start gate is open, while that plan is
   *     older than a peer's and while the process drains
   */
  boolean isReady() {
    return !isDraining()
        && !gate.isClosed()
        && activePlan.current().isPresent()
        && !activePlan.isBehindSinceStart(clock.nowMs());
  }

  boolean isDraining() {
    return drainingSinceMs != NOT_DRAINING;
  }

  /**
   * Starts to drain.
   *
   * @param signalMs the time of the stop signal, in Unix milliseconds
   */
  void startDraining(final long signalMs) {
    drainingSinceMs = signalMs;
  }

  /**
   * Refuses all requests from now on and answers those that have no response: the process is about
   * to exit and waits for none of them. Must run in the same task as the check that nothing is in
   * flight.
   */
  void startExit() {
    exiting = true;
    gate.open();
    List.copyOf(connections).forEach(CallerHandler::answerBeforeExit);
  }

  /** Returns whether a caller still has to be answered, see {@link CallerHandler#awaitsAnswer}. */
  boolean awaitsAnswers() {
    return connections.stream().anyMatch(CallerHandler::awaitsAnswer);
  }

  boolean isExiting() {
    return exiting;
  }

  /** Closes the connections of callers that have no request in progress. */
  void closeIdleConnections() {
    List.copyOf(connections).forEach(CallerHandler::closeIfIdle);
  }

  /** Logs each request that the end of the process cuts off. */
  void recordCutOff() {
    connections.forEach(CallerHandler::recordCutOff);
  }

  /**
   * Describes a request that is affected by the end of the process, for the log.
   *
   * @param arrivedMs the time at which the request arrived, in Unix milliseconds
   * @return how long the process has been draining, and when in that time the request arrived
   */
  String stopDetail(final long arrivedMs) {
    return "draining for "
        + (clock.nowMs() - drainingSinceMs)
        + " ms; the request arrived "
        + (arrivedMs - drainingSinceMs)
        + " ms after the stop signal";
  }

  int inFlight() {
    return inFlight;
  }

  boolean hasConnections() {
    return !connections.isEmpty();
  }

  long lastConnectionOpenedMs() {
    return lastConnectionOpenedMs;
  }

  void connectionOpened(final CallerHandler connection) {
    lastConnectionOpenedMs = clock.nowMs();
    connections.add(connection);
  }

  void connectionClosed(final CallerHandler connection) {
    connections.remove(connection);
  }

  PollMonitor polls() {
    return polls;
  }

  /**
   * Decides whether a request goes on after a wait, see {@link ForwardingRule}.
   *
   * @param caller the request's caller
   * @param deadlineMs the request's deadline, in Unix milliseconds
   * @return the verdict
   */
  ForwardingRule.Verdict judge(final CallerConnection caller, final long deadlineMs) {
    final ForwardingRule.Verdict verdict =
        ForwardingRule.judge(clock.nowMs(), caller.unreadSinceMs(), deadlineMs);
    log.recordVerdict(verdict);
    return verdict;
  }

  /**
   * Serves a completely received request, once the start gate is open and its caller is known to be
   * there.
   *
   * @param caller the connection that the response is written to
   * @param request the request line and headers
   * @param body the request body, empty if there is none
   * @param arrivedMs the earliest time at which it may have arrived, in Unix milliseconds; its
   *     caller's and its route's time limits run from then
   */
  void serve(
      final CallerConnection caller,
      final HttpRequest request,
      final ByteBuf body,
      final long arrivedMs) {
    if (gate.isClosed()) {
      gate.delay(() -> serve(caller, request, body, arrivedMs));
      return;
    }
    if (!caller.isOpen()) {
      log.recordLeftBeforeStart(RequestTranslator.head(request).map(RequestHead::id).orElse(""));
      return;
    }
    if (!exiting && judge(caller, NO_DEADLINE) == ForwardingRule.Verdict.READ_CALLER) {
      polls.afterNextPoll(() -> serve(caller, request, body, arrivedMs));
      return;
    }
    serveNow(caller, request, body, arrivedMs);
  }

  private void serveNow(
      final CallerConnection caller,
      final HttpRequest request,
      final ByteBuf body,
      final long arrivedMs) {
    final Optional<RequestHead> head = RequestTranslator.head(request);
    if (head.isEmpty()) {
      refuse(
          caller,
          "",
          HttpResponseStatus.BAD_REQUEST,
          "invalid path, Host, Authorization or request id header");
      return;
    }
    final String id = head.get().id();
    if (activePlan.current().isEmpty()) {
      refuse(
          caller, id, HttpResponseStatus.SERVICE_UNAVAILABLE, "no configuration has been read yet");
      return;
    }
    if (activePlan.isBehindSinceStart(clock.nowMs())) {
      refuse(
          caller, id, HttpResponseStatus.SERVICE_UNAVAILABLE, "a peer has a newer configuration");
      return;
    }
    final RoutingPlan plan = activePlan.current().get();
    final Optional<Route> route = plan.route(head.get().host(), head.get().path());
    if (route.isEmpty()) {
      refuse(caller, id, unavailableIfOutdated(HttpResponseStatus.NOT_FOUND), "no matching route");
      return;
    }
    final Optional<Tenant> tenant = head.get().apiKey().flatMap(plan::tenant);
    if (!route.get().open() && plan.requiresApiKeys() && tenant.isEmpty()) {
      refuse(caller, id, unavailableIfOutdated(HttpResponseStatus.UNAUTHORIZED), "no valid key");
      return;
    }
    if (isDraining() && !canFinishBeforeExit(route.get(), head.get())) {
      refuse(caller, id, HttpResponseStatus.SERVICE_UNAVAILABLE, stopDetail(clock.nowMs()));
      return;
    }
    final OptionalLong quarantined = planner.findQuarantined(head.get().prompt(), clock.nowMs());
    if (quarantined.isPresent()) {
      final String segment = Long.toHexString(quarantined.getAsLong());
      log.recordRefusal(
          id,
          HttpResponseStatus.SERVICE_UNAVAILABLE.code(),
          "engines crash under segment " + segment + " of the prompt");
      caller.refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, QUARANTINE_RETRY_AFTER_MS);
      return;
    }
    final RoutedRequest routed = routedRequest(plan, head.get(), route.get(), tenant, arrivedMs);
    planner.recordRequest(routed);
    inFlight++;
    final Exchange exchange = new Exchange(this, caller, routed, request, body);
    caller.attach(exchange);
    exchange.start();
  }

  private boolean canFinishBeforeExit(final Route route, final RequestHead head) {
    return !exiting
        && drainPolicy.accepts(
            route.kind(),
            head.outputTokens(),
            timeLimitMs(route, head),
            clock.nowMs() - drainingSinceMs);
  }

  private static long timeLimitMs(final Route route, final RequestHead head) {
    return Math.min(route.timeoutMs(), head.timeoutMs().orElse(route.timeoutMs()));
  }

  /**
   * Replaces a permanent client error by 503 while the active plan may be outdated: the newest plan
   * may contain the route or key.
   */
  private HttpResponseStatus unavailableIfOutdated(final HttpResponseStatus status) {
    return activePlan.isConfirmed(clock.nowMs()) ? status : HttpResponseStatus.SERVICE_UNAVAILABLE;
  }

  private RoutedRequest routedRequest(
      final RoutingPlan plan,
      final RequestHead head,
      final Route route,
      final Optional<Tenant> tenant,
      final long arrivedMs) {
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
            stream ? EVENT_STALL_TIMEOUT_MS : callStallTimeoutMs);
    final int routePriority = route.priority();
    return new RoutedRequest(
        head,
        route,
        route.serviceFor(BitMixer.mix(head.id().hashCode())),
        tenant.map(Tenant::organisation),
        tenant.map(holder -> holder.priority().orElse(routePriority)).orElse(routePriority),
        limits,
        clock.nowMs(),
        plan.version());
  }

  private void refuse(
      final CallerConnection caller,
      final String id,
      final HttpResponseStatus status,
      final String detail) {
    final boolean retryable = status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
    log.recordRefusal(id, status.code(), detail);
    caller.refuse(status, retryable ? randomRetryAfterMs() : 0);
  }

  private static long randomRetryAfterMs() {
    return ThreadLocalRandom.current().nextLong(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
  }

  long retryAfterMs() {
    return randomRetryAfterMs();
  }

  RequestLog log() {
    return log;
  }

  /**
   * Records the end of a request.
   *
   * @param routed the request
   * @param result its result
   */
  void requestFinished(final RoutedRequest routed, final ExchangeResult result) {
    inFlight--;
    log.recordFinished(routed, result);
  }

  /**
   * Records that the end of the process cuts a request off. The request stays in flight.
   *
   * @param routed the request
   * @param result its state
   */
  void requestCutOff(final RoutedRequest routed, final ExchangeResult result) {
    log.recordFinished(routed, result);
  }
}
