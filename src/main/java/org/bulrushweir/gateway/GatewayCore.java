package org.bulrushweir.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.catalog.ActivePlan;
import org.bulrushweir.catalog.CallerLimits;
import org.bulrushweir.catalog.RoutingPlan;
import org.bulrushweir.platform.RequestTranslator;
import org.bulrushweir.relay.ForwardingRule;
import org.bulrushweir.relay.PollMonitor;
import org.bulrushweir.relay.RequestHead;

/**
 * Accepts callers' requests and starts their exchanges.
 *
 * <p>Confined to the event loop.
 */
final class GatewayCore {

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
  private final RequestAdmission admission;
  private final StartGate gate;
  private final PollMonitor polls;
  private final DispatchGate dispatch;
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
   * @param admission decides which requests are served
   * @param crashDetector finds out whether endpoints have crashed
   * @param gate delays requests until the store's tables have been read
   * @param polls the monitor of the event loop's polls
   * @param dispatch holds requests while their service has no room
   * @param log counts and logs the outcomes of requests
   */
  GatewayCore(
      final Clock clock,
      final EventLoop loop,
      final ActivePlan activePlan,
      final AttemptPlanner planner,
      final ConnectionPool pool,
      final CrashDetector crashDetector,
      final RequestAdmission admission,
      final StartGate gate,
      final PollMonitor polls,
      final DispatchGate dispatch,
      final RequestLog log) {
    this.clock = clock;
    this.loop = loop;
    this.activePlan = activePlan;
    this.planner = planner;
    this.pool = pool;
    this.crashDetector = crashDetector;
    this.admission = admission;
    this.gate = gate;
    this.polls = polls;
    this.dispatch = dispatch;
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

  boolean isPlanConfirmed() {
    return activePlan.isConfirmed(clock.nowMs());
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
    dispatch.releaseAll();
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
    return RequestAdmission.stopDetail(
        clock.nowMs() - drainingSinceMs, arrivedMs - drainingSinceMs);
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
    final RequestAdmission.Decision decision =
        head.isEmpty() ? RequestAdmission.INVALID : decide(head.get(), arrivedMs);
    switch (decision) {
      case RequestAdmission.Rejected rejected ->
          refuse(caller, head.map(RequestHead::id).orElse(""), rejected);
      case RequestAdmission.Admitted admitted ->
          dispatch.admit(
              admitted.request(),
              new DispatchTurn(this, dispatch, caller, request, body, arrivedMs));
    }
  }

  RequestAdmission.Decision decide(final RequestHead head, final long arrivedMs) {
    return admission.decide(head, arrivedMs, drainingForMs(), exiting);
  }

  /** Returns whether requests wait for the first reading of the store's tables. */
  boolean isStarting() {
    return gate.isClosed();
  }

  /** Tells what would be decided on a request of an organisation. Changes nothing. */
  RequestAdmission.Decision preview(
      final RequestHead head, final Optional<OrganisationId> organisation) {
    return admission.preview(head, organisation, drainingForMs(), exiting);
  }

  void refuse(
      final CallerConnection caller, final String id, final RequestAdmission.Rejected rejected) {
    log.recordRefusal(id, rejected.status().code(), rejected.detail());
    caller.refuse(rejected.status(), rejected.retryAfterMs());
  }

  /**
   * Starts the exchange of a request whose turn it is.
   *
   * @param caller the connection that the response is written to
   * @param routed the request with its route and limits
   * @param request the request line and headers
   * @param body the request body, empty if there is none
   */
  void start(
      final CallerConnection caller,
      final RoutedRequest routed,
      final HttpRequest request,
      final ByteBuf body) {
    planner.recordRequest(routed);
    inFlight++;
    final Exchange exchange = new Exchange(this, caller, routed, request, body);
    caller.attach(exchange);
    exchange.start();
  }

  private OptionalLong drainingForMs() {
    return isDraining() ? OptionalLong.of(clock.nowMs() - drainingSinceMs) : OptionalLong.empty();
  }

  long retryAfterMs() {
    return RequestAdmission.randomRetryAfterMs();
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
    dispatch.recordFinished(routed, result);
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
