package org.bulrushweir.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
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
import org.bulrushweir.relay.RelayLimits;
import org.bulrushweir.relay.RequestHead;
import org.bulrushweir.routing.BitMixer;

/** Takes callers' requests and starts their exchanges; used on the event loop only. */
final class GatewayCore {

  /** The least and the greatest advice to come again, in milliseconds: seconds of a change. */
  private static final long MIN_RETRY_AFTER_MS = 200;

  private static final long MAX_RETRY_AFTER_MS = 600;

  /** The least silence after which a repeatable call goes elsewhere, in milliseconds. */
  private static final long MIN_CALL_SILENCE_MS = 400;

  /** How many targets a repeatable call may be silent for. */
  private static final long CALL_SILENCE_TARGETS = 3;

  /** How many targets a stream may be silent for before its first event. */
  private static final long STREAM_SILENCE_TARGETS = 2;

  /** How long a stream may be silent between events, in milliseconds; callers leave after 2 s. */
  private static final long EVENT_SILENCE_MS = 1_000;

  private static final long NOT_DRAINING = -1;

  private final Set<CallerHandler> connections = new HashSet<>();
  private final Clock clock;
  private final EventLoop loop;
  private final ActivePlan activePlan;
  private final AttemptPlanner planner;
  private final ConnectionPool pool;
  private final RequestLog log;
  private final DrainPolicy drainPolicy;
  private final StartGate gate;
  private long drainingSinceMs = NOT_DRAINING;
  private int inFlight;
  private long lastConnectionMs;

  /**
   * Creates the core.
   *
   * @param clock the clock
   * @param loop the event loop
   * @param activePlan holds the plan in force
   * @param planner says where requests go
   * @param pool keeps connections to endpoints
   * @param drainPolicy decides what is still taken while stopping
   * @param gate holds requests until the store was read
   * @param log counts and logs what becomes of requests
   */
  GatewayCore(
      final Clock clock,
      final EventLoop loop,
      final ActivePlan activePlan,
      final AttemptPlanner planner,
      final ConnectionPool pool,
      final DrainPolicy drainPolicy,
      final StartGate gate,
      final RequestLog log) {
    this.clock = clock;
    this.loop = loop;
    this.activePlan = activePlan;
    this.planner = planner;
    this.pool = pool;
    this.drainPolicy = drainPolicy;
    this.gate = gate;
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

  CallerLimits limits() {
    return activePlan.current().map(RoutingPlan::limits).orElse(CallerLimits.DEFAULT);
  }

  /**
   * Tells whether this process takes new work.
   *
   * @return false before the first plan and from the stop on
   */
  boolean isReady() {
    return !isDraining() && !gate.isClosed() && activePlan.current().isPresent();
  }

  boolean isDraining() {
    return drainingSinceMs != NOT_DRAINING;
  }

  void drain() {
    drainingSinceMs = clock.nowMs();
  }

  /** Closes the connections of callers that are not within a request. */
  void closeIdle() {
    List.copyOf(connections).forEach(CallerHandler::closeIfIdle);
  }

  int inFlight() {
    return inFlight;
  }

  long lastConnectionMs() {
    return lastConnectionMs;
  }

  void opened(final CallerHandler connection) {
    lastConnectionMs = clock.nowMs();
    connections.add(connection);
  }

  void closed(final CallerHandler connection) {
    connections.remove(connection);
  }

  /**
   * Serves a request that was read whole.
   *
   * @param caller where the answer goes
   * @param request the request
   * @param body its body
   */
  void serve(final CallerConnection caller, final HttpRequest request, final ByteBuf body) {
    if (gate.isClosed()) {
      gate.hold(() -> serveHeld(caller, request, body));
      return;
    }
    serveNow(caller, request, body);
  }

  private void serveHeld(
      final CallerConnection caller, final HttpRequest request, final ByteBuf body) {
    if (caller.isOpen()) {
      serveNow(caller, request, body);
    }
  }

  private void serveNow(
      final CallerConnection caller, final HttpRequest request, final ByteBuf body) {
    final Optional<RequestHead> head = RequestTranslator.head(request);
    if (head.isEmpty()) {
      refuse(caller, "", HttpResponseStatus.BAD_REQUEST, "the head is not proper");
      return;
    }
    final String id = head.get().id();
    if (activePlan.current().isEmpty()) {
      refuse(caller, id, HttpResponseStatus.SERVICE_UNAVAILABLE, "no plan is known");
      return;
    }
    final RoutingPlan plan = activePlan.current().get();
    final Optional<Route> route = plan.route(head.get().host(), head.get().path());
    if (route.isEmpty()) {
      refuse(caller, id, unlessBehind(HttpResponseStatus.NOT_FOUND), "no route");
      return;
    }
    final Optional<Tenant> tenant = head.get().apiKey().flatMap(plan::tenant);
    if (!route.get().open() && plan.requiresApiKeys() && tenant.isEmpty()) {
      refuse(caller, id, unlessBehind(HttpResponseStatus.UNAUTHORIZED), "no valid key");
      return;
    }
    if (isDraining() && !takesWhileDraining(route.get(), head.get())) {
      refuse(caller, id, HttpResponseStatus.SERVICE_UNAVAILABLE, "stopping");
      return;
    }
    final RoutedRequest order = order(plan, head.get(), route.get(), tenant);
    planner.requested(order);
    inFlight++;
    final Exchange exchange = new Exchange(this, caller, order, request, body);
    caller.exchange(exchange);
    exchange.start();
  }

  private boolean takesWhileDraining(final Route route, final RequestHead head) {
    return drainPolicy.accepts(route.kind(), head.outputTokens(), clock.nowMs() - drainingSinceMs);
  }

  /** Chooses a status that promises nothing for good while newer plans may have passed by. */
  private HttpResponseStatus unlessBehind(final HttpResponseStatus status) {
    return activePlan.isConfirmed(clock.nowMs()) ? status : HttpResponseStatus.SERVICE_UNAVAILABLE;
  }

  private RoutedRequest order(
      final RoutingPlan plan,
      final RequestHead head,
      final Route route,
      final Optional<Tenant> tenant) {
    final long nowMs = clock.nowMs();
    final long patienceMs = Math.min(route.timeoutMs(), head.timeoutMs().orElse(route.timeoutMs()));
    final boolean stream = route.kind() == RequestKind.STREAM;
    final long callSilenceMs =
        Math.max(MIN_CALL_SILENCE_MS, CALL_SILENCE_TARGETS * route.latencyTargetMs());
    final RelayLimits limits =
        new RelayLimits(
            route.retryable(),
            stream && route.resumable(),
            route.maxAttempts(),
            nowMs + patienceMs,
            stream ? STREAM_SILENCE_TARGETS * route.latencyTargetMs() : callSilenceMs,
            stream ? EVENT_SILENCE_MS : callSilenceMs);
    final int routePriority = route.priority();
    return new RoutedRequest(
        head,
        route,
        route.serviceFor(BitMixer.mix(head.id().hashCode())),
        tenant.map(Tenant::organisation),
        tenant.map(holder -> holder.priority().orElse(routePriority)).orElse(routePriority),
        limits,
        nowMs,
        plan.version());
  }

  private void refuse(
      final CallerConnection caller,
      final String id,
      final HttpResponseStatus status,
      final String detail) {
    final boolean promised = status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
    log.refused(id, status.code(), detail);
    caller.refuse(status, promised ? spreadRetryAfterMs() : 0);
  }

  private static long spreadRetryAfterMs() {
    return ThreadLocalRandom.current().nextLong(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
  }

  long retryAfterMs() {
    return spreadRetryAfterMs();
  }

  RequestLog log() {
    return log;
  }

  /**
   * Notes the end of a request.
   *
   * @param order the request
   * @param result how it came to its end
   */
  void finished(final RoutedRequest order, final ExchangeResult result) {
    inFlight--;
    log.finished(order, result);
  }
}
