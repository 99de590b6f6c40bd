package org.bulrushweir.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.balancing.AttemptOutcome;
import org.bulrushweir.platform.RequestTranslator;
import org.bulrushweir.platform.ResponseTranslator;
import org.bulrushweir.relay.AttemptHead;
import org.bulrushweir.relay.AttemptId;
import org.bulrushweir.relay.EndpointSource;
import org.bulrushweir.relay.EventId;
import org.bulrushweir.relay.EventStreamFramer;
import org.bulrushweir.relay.Refusal;
import org.bulrushweir.relay.RelayAction;
import org.bulrushweir.relay.RelayEvent;
import org.bulrushweir.relay.RelayMachine;

/**
 * Executes the actions that a {@link RelayMachine} decides on for one request: sends it to
 * endpoints and forwards the response to the caller.
 */
final class Exchange implements EndpointSource, AttemptOwner {

  private final Deque<RelayAction> pendingActions = new ArrayDeque<>();
  private final GatewayCore core;
  private final CallerConnection caller;
  private final RoutedRequest routed;
  private final HttpRequest request;
  private final ByteBuf body;
  private final RelayMachine machine;
  private final EventStreamFramer framer;
  private ScheduledFuture<?> tickTimer;
  private ExchangeAttempt currentAttempt;
  private boolean resuming;
  private boolean performing;
  private boolean responseStarted;
  private boolean callerDisconnected;
  private long responseStartMs = -1;

  /**
   * Creates the exchange of a request.
   *
   * @param core the gateway
   * @param caller the connection that the response is written to
   * @param routed the request with its route and limits
   * @param request the request line and headers as received from the caller
   * @param body the request body, empty if there is none
   */
  Exchange(
      final GatewayCore core,
      final CallerConnection caller,
      final RoutedRequest routed,
      final HttpRequest request,
      final ByteBuf body) {
    this.core = core;
    this.caller = caller;
    this.routed = routed;
    this.request = request;
    this.body = body;
    this.machine = new RelayMachine(routed.limits(), this);
    this.framer = new EventStreamFramer(routed.head().resumeAfter());
  }

  void start() {
    pendingActions.addAll(machine.start(core.nowMs()));
    performPending();
  }

  /** Ends the request, whose response nobody waits for any more. */
  void onCallerDisconnected() {
    callerDisconnected = true;
    handle(new RelayEvent.CallerDisconnected());
    core.requestFinished(routed, result(RequestLog.LEFT, "the caller closed its connection"));
  }

  /**
   * Pauses or resumes reading from the endpoint when the caller's connection changes its
   * writability.
   *
   * @param writable false to stop reading the endpoint's response until the caller has caught up
   */
  void onWritabilityChanged(final boolean writable) {
    if (currentAttempt != null) {
      currentAttempt.setReading(writable);
    }
  }

  @Override
  public void handle(final RelayEvent event) {
    pendingActions.addAll(machine.on(event, core.nowMs()));
    performPending();
  }

  /**
   * Executes pending actions in order. An action may raise an event whose actions are appended to
   * the queue; a nested call returns at once and leaves them to the outer loop.
   */
  private void performPending() {
    if (performing) {
      return;
    }
    performing = true;
    while (!pendingActions.isEmpty()) {
      perform(pendingActions.removeFirst());
    }
    performing = false;
    if (machine.isFinished()) {
      stopTimer();
      return;
    }
    scheduleTick();
  }

  private void perform(final RelayAction action) {
    switch (action) {
      case RelayAction.Send send -> startAttempt(send);
      case RelayAction.Abort abort -> abort(abort.attempt());
      case RelayAction.Forward forward -> forwardHead();
      case RelayAction.ForwardResumed resumed -> {
        // The data of the new attempt continues the response that the caller already receives.
      }
      case RelayAction.Refuse refuse -> refuse(refuse.refusal());
      case RelayAction.Truncate truncate -> {
        finish("broken off", truncate.detail());
        caller.abort();
      }
      case RelayAction.Complete complete -> {
        caller.endResponse();
        finish("answered", "");
      }
    }
  }

  private void scheduleTick() {
    if (tickTimer != null) {
      return;
    }
    final long delayMs = Math.max(1, machine.nextTickMs() - core.nowMs());
    tickTimer = core.loop().schedule(this::tick, delayMs, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    tickTimer = null;
    handle(new RelayEvent.Tick());
  }

  private void stopTimer() {
    if (tickTimer != null) {
      tickTimer.cancel(false);
      tickTimer = null;
    }
  }

  @Override
  public Optional<EndpointId> next(final Set<EndpointId> excluded, final long nowMs) {
    return core.isExiting() ? Optional.empty() : core.planner().choose(routed, excluded, nowMs);
  }

  @Override
  public boolean tryRetry(final long nowMs) {
    return core.planner().tryRetry(routed, nowMs);
  }

  @Override
  public boolean tryEarlyRetry(final long nowMs) {
    return core.planner().tryEarlyRetry(routed, nowMs);
  }

  @Override
  public long retryAfterMs() {
    return core.planner().heldOffForMs(routed, core.nowMs()) + core.retryAfterMs();
  }

  private void startAttempt(final RelayAction.Send send) {
    resuming = send.resume();
    currentAttempt =
        new ExchangeAttempt(core, routed, caller, framer, this, send.attempt(), send.endpoint());
    currentAttempt.start();
  }

  @Override
  public void writeRequest(final ExchangeAttempt attempt, final EndpointConnection connection) {
    final long remainingMs = routed.limits().deadlineMs() - core.nowMs();
    final Optional<EventId> resumeAfter = resuming ? framer.lastEventId() : Optional.empty();
    final AttemptHead head =
        new AttemptHead(
            attempt.endpoint(),
            routed.organisation(),
            remainingMs,
            core.planner().engineRank(routed, attempt.placement(), core.nowMs()),
            resumeAfter,
            attempt.cacheSource());
    connection.send(
        RequestTranslator.toEndpoint(request, body.retainedDuplicate(), head),
        routed.head().id(),
        attempt);
  }

  @Override
  public boolean isResponseStarted() {
    return responseStarted;
  }

  @Override
  public boolean isCallerDisconnected() {
    return callerDisconnected;
  }

  private void abort(final AttemptId id) {
    if (currentAttempt != null && currentAttempt.id().equals(id) && !currentAttempt.isFinished()) {
      currentAttempt.abandon();
    }
  }

  private void forwardHead() {
    responseStarted = true;
    responseStartMs = core.nowMs();
    final HttpResponse response = currentAttempt.response();
    final HttpHeaders headers = ResponseTranslator.forCaller(response);
    if (routed.isStream() && response.status().codeClass() == HttpStatusClass.SUCCESS) {
      // With a length, a stream whose last bytes turn out to be wrong would look complete.
      headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    }
    caller.startResponse(HttpResponseStatus.valueOf(response.status().code()), headers);
  }

  private void refuse(final Refusal refusal) {
    final HttpResponseStatus status =
        switch (refusal.reason()) {
          case NOT_RUN -> HttpResponseStatus.SERVICE_UNAVAILABLE;
          case FAILED -> HttpResponseStatus.BAD_GATEWAY;
          case TIMED_OUT -> HttpResponseStatus.GATEWAY_TIMEOUT;
        };
    finish(refusal.reason().name().toLowerCase(Locale.ROOT), refusal.detail());
    caller.refuse(status, refusal.retryAfterMs());
  }

  private void finish(final String outcome, final String detail) {
    // Only a completed response leaves its attempt unfinished here; every other end has
    // finished it before.
    if (currentAttempt != null && !currentAttempt.isFinished()) {
      currentAttempt.finish(AttemptOutcome.ANSWERED);
    }
    core.requestFinished(routed, result(outcome, detail));
  }

  private ExchangeResult result(final String outcome, final String detail) {
    return new ExchangeResult(
        Optional.ofNullable(currentAttempt).map(ExchangeAttempt::endpoint),
        Optional.ofNullable(currentAttempt).map(ExchangeAttempt::placement),
        currentAttempt == null || currentAttempt.response() == null
            ? 0
            : currentAttempt.response().status().code(),
        Optional.ofNullable(currentAttempt).flatMap(attempt -> attempt.end().framing()),
        currentAttempt != null && currentAttempt.end().isInsideEvent(),
        machine.attempts(),
        outcome,
        detail,
        responseStartMs);
  }

  /** Answers the caller before the process exits, unless the response has started. */
  void answerBeforeExit() {
    if (currentAttempt != null) {
      currentAttempt.endUnsent();
    }
    handle(new RelayEvent.ProcessExits());
  }

  /** Ends the current attempt if its endpoint would crash when it responds. */
  void cancelIfQuarantined() {
    if (currentAttempt != null) {
      currentAttempt.cancelIfQuarantined();
    }
  }

  /** Records that the end of the process cuts the request off. */
  void recordCutOff() {
    core.requestCutOff(routed, result("cut off", core.stopDetail(routed.arrivedMs())));
  }
}
