package org.bulrushweir.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
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
import org.bulrushweir.relay.EventStreamFramer;
import org.bulrushweir.relay.Refusal;
import org.bulrushweir.relay.RelayAction;
import org.bulrushweir.relay.RelayEvent;
import org.bulrushweir.relay.RelayMachine;

/** Carries out what is decided for one request: sends it and passes its answer on. */
final class Exchange implements EndpointSource, AttemptOwner {

  private final Deque<RelayAction> todo = new ArrayDeque<>();
  private final GatewayCore core;
  private final CallerConnection caller;
  private final RoutedRequest order;
  private final HttpRequest request;
  private final ByteBuf body;
  private final RelayMachine machine;
  private final EventStreamFramer framer;
  private ScheduledFuture<?> timer;
  private ExchangeAttempt current;
  private boolean resumes;
  private boolean working;
  private boolean begun;
  private boolean callerLeft;
  private long firstPartMs = -1;

  /**
   * Creates the exchange of a request.
   *
   * @param core the gateway
   * @param caller where the answer goes
   * @param order what is to be done
   * @param request the request as the caller sent it
   * @param body its body
   */
  Exchange(
      final GatewayCore core,
      final CallerConnection caller,
      final RoutedRequest order,
      final HttpRequest request,
      final ByteBuf body) {
    this.core = core;
    this.caller = caller;
    this.order = order;
    this.request = request;
    this.body = body;
    this.machine = new RelayMachine(order.limits(), this);
    this.framer = new EventStreamFramer(order.head().resumeAfter().orElse(-1));
  }

  void start() {
    todo.addAll(machine.start(core.nowMs()));
    work();
  }

  void callerGone() {
    callerLeft = true;
    handle(new RelayEvent.CallerDisconnected());
  }

  /**
   * Notes whether the caller reads as fast as the answer comes.
   *
   * @param writable false to stop reading the endpoint's answer for now
   */
  void callerWritable(final boolean writable) {
    if (current != null) {
      current.reading(writable);
    }
  }

  @Override
  public void handle(final RelayEvent event) {
    todo.addAll(machine.on(event, core.nowMs()));
    work();
  }

  /** Carries out actions; those that follow from them are carried out after them. */
  private void work() {
    if (working) {
      return;
    }
    working = true;
    while (!todo.isEmpty()) {
      perform(todo.removeFirst());
    }
    working = false;
    if (machine.isFinished()) {
      stopTimer();
      return;
    }
    scheduleTick();
  }

  private void perform(final RelayAction action) {
    switch (action) {
      case RelayAction.Send send -> send(send);
      case RelayAction.Abort abort -> abort(abort.attempt());
      case RelayAction.Forward pass -> passOn();
      case RelayAction.ForwardResumed go -> {
        // The parts of the new attempt follow those of the broken one.
      }
      case RelayAction.Refuse refuse -> refuse(refuse.refusal());
      case RelayAction.Truncate broken -> {
        finished("broken off", broken.detail());
        caller.breakOff();
      }
      case RelayAction.Complete complete -> {
        caller.end();
        finished("answered", "");
      }
    }
  }

  private void scheduleTick() {
    if (timer != null) {
      return;
    }
    final long delayMs = Math.max(1, machine.nextTickMs() - core.nowMs());
    timer = core.loop().schedule(this::tick, delayMs, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    timer = null;
    handle(new RelayEvent.Tick());
  }

  private void stopTimer() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }

  @Override
  public Optional<EndpointId> next(final Set<EndpointId> excluded, final long nowMs) {
    return core.planner().choose(order, excluded, nowMs);
  }

  @Override
  public boolean tryRetry(final long nowMs) {
    return core.planner().tryRepeat(order, nowMs);
  }

  @Override
  public long retryAfterMs() {
    return core.retryAfterMs();
  }

  private void send(final RelayAction.Send send) {
    resumes = send.resume();
    current =
        new ExchangeAttempt(core, order, caller, framer, this, send.attempt(), send.endpoint());
    current.start();
  }

  @Override
  public void send(final ExchangeAttempt attempt, final EndpointConnection connection) {
    final long leftMs = order.limits().deadlineMs() - core.nowMs();
    final OptionalLong resumeAfter =
        resumes && framer.lastEventId() >= 0
            ? OptionalLong.of(framer.lastEventId())
            : OptionalLong.empty();
    final AttemptHead head =
        new AttemptHead(
            attempt.endpoint(),
            order.organisation(),
            leftMs,
            order.priority(),
            resumeAfter,
            attempt.cacheSource());
    connection.send(
        RequestTranslator.toEndpoint(request, body.retainedDuplicate(), head),
        order.head().id(),
        attempt);
  }

  @Override
  public boolean hasBegun() {
    return begun;
  }

  @Override
  public boolean callerLeft() {
    return callerLeft;
  }

  private void abort(final AttemptId id) {
    if (current != null && current.id().equals(id) && !current.isOver()) {
      current.abandon();
    }
  }

  private void passOn() {
    begun = true;
    firstPartMs = core.nowMs();
    caller.begin(
        HttpResponseStatus.valueOf(current.response().status().code()),
        ResponseTranslator.forCaller(current.response()));
  }

  private void refuse(final Refusal refusal) {
    final HttpResponseStatus status =
        switch (refusal.reason()) {
          case NOT_RUN -> HttpResponseStatus.SERVICE_UNAVAILABLE;
          case FAILED -> HttpResponseStatus.BAD_GATEWAY;
          case TIMED_OUT -> HttpResponseStatus.GATEWAY_TIMEOUT;
        };
    finished(refusal.reason().name().toLowerCase(Locale.ROOT), refusal.detail());
    caller.refuse(status, refusal.retryAfterMs());
  }

  private void finished(final String outcome, final String detail) {
    if (current != null && !current.isOver()) {
      current.left(AttemptOutcome.ANSWERED);
    }
    core.finished(
        order,
        new ExchangeResult(
            Optional.ofNullable(current).map(ExchangeAttempt::endpoint),
            Optional.ofNullable(current).map(ExchangeAttempt::placement),
            current == null || current.response() == null ? 0 : current.response().status().code(),
            machine.attempts(),
            outcome,
            detail,
            firstPartMs));
  }
}
