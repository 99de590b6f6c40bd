package org.bulrushweir.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.balancing.AttemptOutcome;
import org.bulrushweir.balancing.PlacementSnapshot;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.platform.ResponseTranslator;
import org.bulrushweir.relay.AttemptId;
import org.bulrushweir.relay.EventStreamFramer;
import org.bulrushweir.relay.RelayEvent;
import org.bulrushweir.relay.ResponseHead;

/** Carries one attempt to get an answer; used on the event loop only. */
final class ExchangeAttempt implements ResponseListener {

  /** How much of a plain answer is held until it is known to be whole, in bytes. */
  private static final int MAX_HELD_BYTES = 65_536;

  private final GatewayCore core;
  private final RoutedRequest order;
  private final CallerConnection caller;
  private final EventStreamFramer framer;
  private final AttemptOwner owner;
  private final AttemptId id;
  private final EndpointId endpoint;
  private final Optional<EndpointRecord> cacheSource;
  private final PlacementSnapshot placement;
  private long pendingTokens;
  private EndpointConnection connection;
  private HttpResponse response;
  private ResponseHead head;
  private ByteBuf held;
  private boolean answerBegun;
  private boolean over;

  /**
   * Creates an attempt and takes account of it.
   *
   * @param core the gateway
   * @param order what is to be done
   * @param caller where the answer goes
   * @param framer passes only whole events on
   * @param owner hears what happens
   * @param id which attempt of the request it is
   * @param endpoint where it goes
   */
  ExchangeAttempt(
      final GatewayCore core,
      final RoutedRequest order,
      final CallerConnection caller,
      final EventStreamFramer framer,
      final AttemptOwner owner,
      final AttemptId id,
      final EndpointId endpoint) {
    this.core = core;
    this.order = order;
    this.caller = caller;
    this.framer = framer;
    this.owner = owner;
    this.id = id;
    this.endpoint = endpoint;
    final long nowMs = core.nowMs();
    this.cacheSource = core.planner().cacheSource(order, endpoint, nowMs);
    this.placement = core.planner().sent(order, endpoint, cacheSource, nowMs);
    this.pendingTokens = placement.prefillTokens();
  }

  AttemptId id() {
    return id;
  }

  EndpointId endpoint() {
    return endpoint;
  }

  PlacementSnapshot placement() {
    return placement;
  }

  Optional<EndpointRecord> cacheSource() {
    return cacheSource;
  }

  /**
   * Returns the head of the answer.
   *
   * @return the head, null before it has come
   */
  HttpResponse response() {
    return response;
  }

  boolean isOver() {
    return over;
  }

  /** Opens or takes a connection, once the endpoint has read what another request needs as well. */
  void start() {
    final Optional<EndpointRecord> target = core.planner().find(endpoint);
    if (target.isEmpty()) {
      left(AttemptOutcome.ABANDONED);
      owner.handle(new RelayEvent.NotSent(id, "the endpoint is gone"));
      return;
    }
    if (placement.awaitMs() > 0) {
      core.loop().schedule(() -> connect(target.get()), placement.awaitMs(), TimeUnit.MILLISECONDS);
      return;
    }
    connect(target.get());
  }

  private void connect(final EndpointRecord target) {
    if (over) {
      return;
    }
    core.pool().acquire(target, order.maxIdleMs(), this::connected, this::notConnected);
  }

  private void connected(final EndpointConnection opened) {
    if (over) {
      core.pool().release(opened);
      return;
    }
    connection = opened;
    owner.handle(new RelayEvent.Sent(id));
    owner.send(this, opened);
  }

  /**
   * Notes that there is no connection.
   *
   * @param detail what happened
   */
  void notConnected(final String detail) {
    if (over) {
      return;
    }
    left(AttemptOutcome.UNREACHABLE);
    core.log().attemptFailed(order, endpoint, placement, "not sent", detail);
    owner.handle(new RelayEvent.NotSent(id, detail));
  }

  /**
   * Starts or stops reading the answer.
   *
   * @param reading false to stop
   */
  void reading(final boolean reading) {
    if (connection != null) {
      connection.reading(reading);
    }
  }

  private void promptRead() {
    if (answerBegun) {
      return;
    }
    answerBegun = true;
    core.planner().promptRead(endpoint, order.head().prompt(), pendingTokens, core.nowMs());
    pendingTokens = 0;
  }

  /**
   * Notes the end of the attempt.
   *
   * @param outcome what became of it
   */
  void left(final AttemptOutcome outcome) {
    over = true;
    core.planner().left(endpoint, pendingTokens, outcome, core.nowMs());
    pendingTokens = 0;
  }

  /** Gives the attempt up. */
  void abandon() {
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
    return owner.callerLeft() || head != null ? AttemptOutcome.ABANDONED : AttemptOutcome.FAILED;
  }

  @Override
  public void head(final HttpResponse answer) {
    response = answer;
    head = ResponseTranslator.head(answer);
    if (order.holdsAnswer() && !head.notRun()) {
      held = Unpooled.buffer(0);
      return;
    }
    owner.handle(new RelayEvent.HeadReceived(id, head));
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
    owner.handle(new RelayEvent.DataReceived(id));
    passPart(part);
  }

  private void passPart(final ByteBuf part) {
    if (over || !owner.hasBegun()) {
      part.release();
      return;
    }
    if (!order.cutsEvents() || !head.success()) {
      caller.write(part);
    } else {
      final byte[] whole = framer.feed(ByteBufUtil.getBytes(part));
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
    owner.handle(new RelayEvent.HeadReceived(id, head));
    if (over || !owner.hasBegun()) {
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
    if (order.cutsEvents() && head.success() && !framer.isAtEventBoundary()) {
      broken("the stream ended within an event");
      return;
    }
    owner.handle(new RelayEvent.Ended(id));
  }

  @Override
  public void broken(final String detail) {
    if (over) {
      return;
    }
    left(AttemptOutcome.FAILED);
    held = null;
    framer.discardPartialEvent();
    core.log().attemptFailed(order, endpoint, placement, "broken", detail);
    owner.handle(new RelayEvent.Broken(id, detail));
  }
}
