package org.bulrushweir.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
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
import org.bulrushweir.balancing.PlacementFacts;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.platform.AnswerTranslator;
import org.bulrushweir.platform.RequestTranslator;
import org.bulrushweir.relay.AnswerHead;
import org.bulrushweir.relay.AttemptHead;
import org.bulrushweir.relay.AttemptId;
import org.bulrushweir.relay.EndpointSource;
import org.bulrushweir.relay.EventCutter;
import org.bulrushweir.relay.Refusal;
import org.bulrushweir.relay.RelayAction;
import org.bulrushweir.relay.RelayEvent;
import org.bulrushweir.relay.RelayMachine;

/** Carries out what is decided for one request: sends it and passes its answer on. */
final class Exchange implements EndpointSource {

  /** How much of a plain answer is held until it is known to be whole, in bytes. */
  private static final int MAX_HELD_BYTES = 65_536;

  private final Deque<RelayAction> todo = new ArrayDeque<>();
  private final GatewayCore core;
  private final CallerConnection caller;
  private final ExchangeOrder order;
  private final HttpRequest request;
  private final ByteBuf body;
  private final RelayMachine machine;
  private final EventCutter cutter;
  private ScheduledFuture<?> timer;
  private Attempt current;
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
      final ExchangeOrder order,
      final HttpRequest request,
      final ByteBuf body) {
    this.core = core;
    this.caller = caller;
    this.order = order;
    this.request = request;
    this.body = body;
    this.machine = new RelayMachine(order.limits(), this);
    this.cutter = new EventCutter(order.head().resumeAfter().orElse(-1));
  }

  void start() {
    todo.addAll(machine.start(core.nowMs()));
    work();
  }

  void callerGone() {
    callerLeft = true;
    handle(new RelayEvent.CallerGone());
  }

  /**
   * Notes whether the caller reads as fast as the answer comes.
   *
   * @param writable false to stop reading the endpoint's answer for now
   */
  void callerWritable(final boolean writable) {
    if (current != null && current.connection != null) {
      current.connection.reading(writable);
    }
  }

  private void handle(final RelayEvent event) {
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
      case RelayAction.PassOn pass -> passOn();
      case RelayAction.Continue go -> {
        // The parts of the new attempt follow those of the broken one.
      }
      case RelayAction.Refuse refuse -> refuse(refuse.refusal());
      case RelayAction.BreakOff broken -> {
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
  public boolean tryRepeat(final long nowMs) {
    return core.planner().tryRepeat(order, nowMs);
  }

  @Override
  public long retryAfterMs() {
    return core.retryAfterMs(order);
  }

  private void send(final RelayAction.Send send) {
    final Optional<EndpointRecord> endpoint = core.planner().find(send.endpoint());
    final Attempt attempt = new Attempt(send.attempt(), send.endpoint());
    current = attempt;
    final long nowMs = core.nowMs();
    attempt.cacheSource = core.planner().cacheSource(order, send.endpoint(), nowMs);
    attempt.placement = core.planner().sent(order, send.endpoint(), attempt.cacheSource, nowMs);
    attempt.pendingTokens = attempt.placement.readTokens();
    if (endpoint.isEmpty()) {
      attempt.left(AttemptOutcome.ABANDONED);
      handle(new RelayEvent.NotSent(send.attempt(), "the endpoint is gone"));
      return;
    }
    final long awaitMs = attempt.placement.awaitMs();
    if (awaitMs > 0) {
      core.loop()
          .schedule(
              () -> connect(attempt, endpoint.get(), send.resume()),
              awaitMs,
              TimeUnit.MILLISECONDS);
      return;
    }
    connect(attempt, endpoint.get(), send.resume());
  }

  private void connect(final Attempt attempt, final EndpointRecord endpoint, final boolean resume) {
    if (attempt.over) {
      return;
    }
    core.pool()
        .acquire(
            endpoint,
            order.maxIdleMs(),
            connection -> connected(attempt, connection, resume),
            detail -> notConnected(attempt, detail));
  }

  private void notConnected(final Attempt attempt, final String detail) {
    attempt.left(AttemptOutcome.UNREACHABLE);
    core.log().attemptFailed(order, attempt.endpoint, attempt.placement, "not sent", detail);
    handle(new RelayEvent.NotSent(attempt.id, detail));
  }

  private void connected(
      final Attempt attempt, final EndpointConnection connection, final boolean resume) {
    if (attempt.over) {
      core.pool().release(connection);
      return;
    }
    attempt.connection = connection;
    final long leftMs = order.limits().answerByMs() - core.nowMs();
    final OptionalLong resumeAfter =
        resume && cutter.lastId() >= 0 ? OptionalLong.of(cutter.lastId()) : OptionalLong.empty();
    final AttemptHead head =
        new AttemptHead(
            attempt.endpoint,
            order.organisation(),
            leftMs,
            order.priority(),
            resumeAfter,
            attempt.cacheSource);
    handle(new RelayEvent.Sent(attempt.id));
    connection.send(
        RequestTranslator.toEndpoint(request, body.retainedDuplicate(), head),
        order.head().id(),
        attempt);
  }

  private void abort(final AttemptId id) {
    if (current != null && current.id.equals(id) && !current.over) {
      current.abandon();
    }
  }

  private void passOn() {
    begun = true;
    firstPartMs = core.nowMs();
    caller.begin(
        HttpResponseStatus.valueOf(current.response.status().code()),
        AnswerTranslator.forCaller(current.response));
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
    if (current != null && !current.over) {
      current.left(AttemptOutcome.ANSWERED);
    }
    core.finished(
        order,
        new ExchangeResult(
            Optional.ofNullable(current).map(attempt -> attempt.endpoint),
            Optional.ofNullable(current).map(attempt -> attempt.placement),
            current == null || current.response == null ? 0 : current.response.status().code(),
            machine.attempts(),
            outcome,
            detail,
            firstPartMs));
  }

  /** One attempt to get an answer. */
  private final class Attempt implements AnswerListener {

    private final AttemptId id;
    private final EndpointId endpoint;
    private Optional<EndpointRecord> cacheSource = Optional.empty();
    private PlacementFacts placement;
    private long pendingTokens;
    private EndpointConnection connection;
    private HttpResponse response;
    private AnswerHead head;
    private ByteBuf held;
    private boolean answerBegun;
    private boolean over;

    Attempt(final AttemptId id, final EndpointId endpoint) {
      this.id = id;
      this.endpoint = endpoint;
    }

    private void promptRead() {
      if (answerBegun) {
        return;
      }
      answerBegun = true;
      core.planner().promptRead(endpoint, order.head().prompt(), pendingTokens, core.nowMs());
      pendingTokens = 0;
    }

    private void left(final AttemptOutcome outcome) {
      over = true;
      core.planner().left(endpoint, pendingTokens, outcome, core.nowMs());
      pendingTokens = 0;
    }

    private void abandon() {
      final boolean refused = head != null && head.notRun();
      left(refused ? AttemptOutcome.REFUSED : abandonedOutcome());
      if (connection == null) {
        return;
      }
      if (refused) {
        held = null;
        return;
      }
      connection.abort();
    }

    private AttemptOutcome abandonedOutcome() {
      return callerLeft || head != null ? AttemptOutcome.ABANDONED : AttemptOutcome.FAILED;
    }

    @Override
    public void head(final HttpResponse answer) {
      response = answer;
      head = AnswerTranslator.head(answer);
      if (order.holdsAnswer() && !head.notRun()) {
        held = Unpooled.buffer(0);
        return;
      }
      handle(new RelayEvent.Answered(id, head));
    }

    @Override
    public void part(final ByteBuf part) {
      if (over) {
        part.release();
        return;
      }
      if (head.success()) {
        promptRead();
      }
      if (held != null) {
        held.writeBytes(part);
        part.release();
        if (held.readableBytes() > MAX_HELD_BYTES) {
          flushHeld();
        }
        return;
      }
      handle(new RelayEvent.Progressed(id));
      passPart(part);
    }

    private void passPart(final ByteBuf part) {
      if (over || !begun) {
        part.release();
        return;
      }
      if (!order.cutsEvents() || !head.success()) {
        caller.write(part);
      } else {
        final byte[] whole = cutter.feed(ByteBufUtil.getBytes(part));
        part.release();
        if (whole.length > 0) {
          caller.write(Unpooled.wrappedBuffer(whole));
        }
      }
      if (!caller.isWritable()) {
        connection.reading(false);
      }
    }

    /** Stops holding the answer back; false if it is not to be passed on. */
    private boolean flushHeld() {
      final ByteBuf answer = held;
      held = null;
      handle(new RelayEvent.Answered(id, head));
      if (over || !begun) {
        return false;
      }
      if (answer.isReadable()) {
        caller.write(answer);
      }
      return true;
    }

    @Override
    public void ended() {
      if (over) {
        return;
      }
      if (held != null && !flushHeld()) {
        return;
      }
      if (order.cutsEvents() && head.success() && !cutter.isBetweenEvents()) {
        broken("the stream ended within an event");
        return;
      }
      handle(new RelayEvent.Ended(id));
    }

    @Override
    public void broken(final String detail) {
      if (over) {
        return;
      }
      left(AttemptOutcome.FAILED);
      held = null;
      cutter.restart();
      core.log().attemptFailed(order, endpoint, placement, "broken", detail);
      handle(new RelayEvent.Broken(id, detail));
    }
  }
}
