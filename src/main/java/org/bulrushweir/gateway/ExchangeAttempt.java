package org.bulrushweir.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.balancing.AttemptOutcome;
import org.bulrushweir.balancing.PlacementSnapshot;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.platform.ResponseTranslator;
import org.bulrushweir.relay.AttemptId;
import org.bulrushweir.relay.EventStreamFramer;
import org.bulrushweir.relay.ForwardingRule;
import org.bulrushweir.relay.RelayEvent;
import org.bulrushweir.relay.ResponseFraming;
import org.bulrushweir.relay.ResponseHead;

/**
 * One attempt: sends the request to one endpoint and forwards the response.
 *
 * <p>Confined to the event loop.
 */
final class ExchangeAttempt implements ResponseListener {

  /**
   * The number of bytes of a non-streamed response that are buffered until it is known to be
   * complete. A larger response is forwarded as it arrives.
   */
  private static final int MAX_BUFFERED_BYTES = 65_536;

  /** The time after which the body of a refusal must be complete, in milliseconds. */
  private static final long MAX_REFUSAL_MS = 1_000;

  /**
   * The time after the start of a response within which a crash of the endpoint may be due to the
   * request, in milliseconds.
   */
  private static final long RESPONSE_START_MS = 500;

  private static final String NOT_ACCEPTED = "the endpoint accepts no requests any more";
  private static final String COLD = "the endpoint is cold and takes no further request now";

  private static final String QUARANTINED = "a segment of the prompt is in quarantine";

  private final GatewayCore core;
  private final RoutedRequest routed;
  private final CallerConnection caller;
  private final EventStreamFramer framer;
  private final ResponseEndTracker end;
  private final AttemptOwner owner;
  private final AttemptId id;
  private final EndpointId endpoint;
  private final Optional<EndpointRecord> cacheSource;
  private final PlacementSnapshot placement;
  private final AttemptObserver observer;
  private long pendingTokens;
  private EndpointRecord target;
  private EndpointConnection connection;
  private HttpResponse response;
  private ResponseHead head;
  private ByteBuf buffered;
  private OptionalLong responseStartMs = OptionalLong.empty();
  private boolean prefillRecorded;
  private boolean arrivalRecorded;
  private boolean finished;
  private boolean responseEnded;
  private long discardedBytes;

  /**
   * Creates an attempt and records it in the endpoint's load.
   *
   * @param core the gateway
   * @param routed the request with its route and limits
   * @param caller the connection that the response is written to
   * @param framer restricts a resumable stream to complete events
   * @param owner receives the attempt's events
   * @param id the attempt's number within the request
   * @param endpoint the endpoint that the request is sent to
   */
  ExchangeAttempt(
      final GatewayCore core,
      final RoutedRequest routed,
      final CallerConnection caller,
      final EventStreamFramer framer,
      final AttemptOwner owner,
      final AttemptId id,
      final EndpointId endpoint) {
    this.core = core;
    this.routed = routed;
    this.caller = caller;
    this.framer = framer;
    this.end = new ResponseEndTracker(routed, framer);
    this.owner = owner;
    this.id = id;
    this.endpoint = endpoint;
    final long nowMs = core.nowMs();
    this.cacheSource = core.planner().cacheSource(routed, endpoint, nowMs);
    this.placement = core.planner().recordAttempt(routed, endpoint, cacheSource, nowMs);
    this.pendingTokens = placement.prefillTokens();
    this.observer = new AttemptObserver(core, routed, endpoint, placement);
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
   * Returns the status line and headers of the response.
   *
   * @return the head, null before it has arrived
   */
  HttpResponse response() {
    return response;
  }

  /**
   * Returns what tells whether the response is complete.
   *
   * @return the tracker of its end
   */
  ResponseEndTracker end() {
    return end;
  }

  boolean isFinished() {
    return finished;
  }

  /**
   * Acquires a connection and sends the request. If the endpoint is already prefilling a shared
   * prefix of the prompt for another request, this waits until that prefix is expected to be
   * cached, but no longer than {@code EndpointTracker.MAX_AWAIT_MS}.
   */
  void start() {
    target = core.planner().find(endpoint).orElse(null);
    if (target == null) {
      finish(AttemptOutcome.ABANDONED);
      owner.handle(new RelayEvent.NotSent(id, "the endpoint is no longer registered"));
      return;
    }
    if (placement.awaitMs() > 0) {
      core.loop().schedule(this::connect, placement.awaitMs(), TimeUnit.MILLISECONDS);
      return;
    }
    connect();
  }

  private void connect() {
    if (finished || endUnlessAccepted() || !goesOn(this::connect)) {
      return;
    }
    core.pool()
        .acquire(target, routed.maxConnectionIdleMs(), this::onConnected, this::onConnectFailure);
  }

  /**
   * Returns whether the request goes on after a wait. If it does not, the step that follows is
   * tried again after the next poll: by then the caller's connection has been read, or the request
   * has ended.
   */
  private boolean goesOn(final Runnable step) {
    final ForwardingRule.Verdict verdict = core.judge(caller, routed.limits().deadlineMs());
    if (verdict == ForwardingRule.Verdict.FORWARD) {
      return true;
    }
    if (verdict == ForwardingRule.Verdict.TOO_LATE) {
      owner.handle(new RelayEvent.Tick());
    }
    core.polls().afterNextPoll(step);
    return false;
  }

  private void onConnected(final EndpointConnection acquired) {
    if (finished) {
      core.pool().release(acquired);
      return;
    }
    if (isQuarantined()) {
      core.pool().release(acquired);
      finish(AttemptOutcome.ABANDONED);
      owner.handle(new RelayEvent.NotSent(id, QUARANTINED));
      return;
    }
    if (endUnlessAccepted()) {
      core.pool().release(acquired);
      return;
    }
    if (goesOn(() -> onConnected(acquired))) {
      send(acquired);
    }
  }

  /**
   * Ends the attempt if its endpoint must get no requests any more: it may have begun to drain, or
   * its zone may be evacuated, since it was selected.
   */
  private boolean endUnlessAccepted() {
    if (core.planner().accepts(target, core.nowMs())) {
      return false;
    }
    finish(AttemptOutcome.ABANDONED);
    owner.handle(new RelayEvent.NotAccepted(id, NOT_ACCEPTED));
    return true;
  }

  private void send(final EndpointConnection acquired) {
    if (!acquired.isOpen()) {
      connect();
      return;
    }
    if (!core.planner().trySend(target, core.nowMs())) {
      core.pool().release(acquired);
      finish(AttemptOutcome.ABANDONED);
      owner.handle(new RelayEvent.NotAccepted(id, COLD));
      return;
    }
    connection = acquired;
    observer.sent();
    // Reported before the write: from here on the request may run.
    owner.handle(new RelayEvent.Sent(id));
    owner.writeRequest(this, acquired);
  }

  /** Ends the attempt if it has not been sent: nothing of the request reaches the endpoint. */
  void endUnsent() {
    if (!finished && connection == null) {
      finish(AttemptOutcome.ABANDONED);
      owner.handle(new RelayEvent.NotSent(id, "the process stops"));
    }
  }

  private boolean isQuarantined() {
    return core.planner().findQuarantined(routed.head().prompt(), core.nowMs()).isPresent();
  }

  /** Ends the attempt if the endpoint has not responded and would crash if it did. */
  void cancelIfQuarantined() {
    if (!finished && connection != null && head == null && isQuarantined()) {
      finish(AttemptOutcome.ABANDONED);
      connection.abort();
      owner.handle(new RelayEvent.Broken(id, QUARANTINED));
    }
  }

  /**
   * Ends the attempt because no connection could be opened.
   *
   * @param detail the cause, for the log
   */
  void onConnectFailure(final String detail) {
    if (finished) {
      return;
    }
    finish(AttemptOutcome.UNREACHABLE);
    core.log()
        .recordFailedAttempt(routed, endpoint, placement, OptionalLong.empty(), "not sent", detail);
    owner.handle(new RelayEvent.NotSent(id, detail));
  }

  /**
   * Resumes or pauses reading the response. After its end the connection serves other attempts, so
   * that this has no effect.
   *
   * @param enabled false to pause
   */
  void setReading(final boolean enabled) {
    if (connection != null && !responseEnded) {
      connection.setAutoRead(enabled);
    }
  }

  private void recordPrefill() {
    if (prefillRecorded) {
      return;
    }
    prefillRecorded = true;
    observer.firstPart();
    core.planner()
        .recordPrefill(endpoint, placement, routed.head().prompt(), pendingTokens, core.nowMs());
    pendingTokens = 0;
  }

  /**
   * Marks the attempt as finished and removes it from the endpoint's load. Must be called once.
   *
   * @param outcome the outcome that is recorded for the endpoint
   */
  void finish(final AttemptOutcome outcome) {
    finished = true;
    recordArrival();
    observer.finished(outcome);
    core.planner().recordOutcome(endpoint, placement, pendingTokens, outcome, core.nowMs());
    pendingTokens = 0;
  }

  /**
   * Cancels the attempt. If the endpoint proved that it did not run the request, the rest of its
   * response is discarded and the connection returns to the pool, unless that rest is long or takes
   * long; otherwise the connection is closed, so that the endpoint stops working on the request.
   */
  void abandon() {
    final boolean refused = head != null && head.notRun();
    finish(refused ? AttemptOutcome.REFUSED : abandonedOutcome());
    if (connection == null) {
      return;
    }
    if (refused) {
      buffered = null;
      core.loop().schedule(this::closeUnlessResponseEnded, MAX_REFUSAL_MS, TimeUnit.MILLISECONDS);
      return;
    }
    connection.abort();
  }

  /** Closes the connection of a refusal; once the response has ended, it serves other attempts. */
  private void closeUnlessResponseEnded() {
    if (!responseEnded) {
      responseEnded = true;
      connection.abort();
    }
  }

  private void discard(final ByteBuf part) {
    discardedBytes += part.readableBytes();
    part.release();
    if (discardedBytes > MAX_BUFFERED_BYTES) {
      closeUnlessResponseEnded();
    }
  }

  /** An endpoint that has sent a head has responded, so the abort is no failure of the endpoint. */
  private AttemptOutcome abandonedOutcome() {
    return owner.isCallerDisconnected() || head != null
        ? AttemptOutcome.ABANDONED
        : AttemptOutcome.FAILED;
  }

  private void recordArrival() {
    if (connection != null && !arrivalRecorded) {
      arrivalRecorded = true;
      core.planner().recordArrival(endpoint, core.nowMs());
    }
  }

  @Override
  public void onBodyTaken() {
    if (!finished && goesOn(this::onBodyTaken)) {
      connection.sendLastPart();
    }
  }

  @Override
  public void onHead(final HttpResponse received, final ResponseFraming framing) {
    response = received;
    responseStartMs = OptionalLong.of(core.nowMs());
    head = ResponseTranslator.head(received);
    recordArrival();
    end.onHead(framing, head.success());
    framer.startResponse();
    observer.headReceived(target, received, head);
    if (routed.buffersResponse() && !head.notRun()) {
      buffered = Unpooled.buffer(0);
      return;
    }
    owner.handle(new RelayEvent.HeadReceived(id, head));
  }

  @Override
  public void onPart(final ByteBuf part) {
    if (finished) {
      discard(part);
      return;
    }
    if (head.success()) {
      recordPrefill();
    }
    if (buffered != null) {
      buffered.writeBytes(part);
      part.release();
      if (buffered.readableBytes() > MAX_BUFFERED_BYTES) {
        forwardBuffered();
      }
      return;
    }
    owner.handle(new RelayEvent.DataReceived(id));
    forward(part);
  }

  private void forward(final ByteBuf part) {
    if (finished || !owner.isResponseStarted()) {
      part.release();
      return;
    }
    if (!routed.forwardsCompleteEvents() || !head.success()) {
      end.onPart(part);
      caller.write(part);
    } else {
      final byte[] events = framer.feed(ByteBufUtil.getBytes(part));
      part.release();
      if (events.length > 0) {
        caller.write(Unpooled.wrappedBuffer(events));
      }
      if (framer.isEventTooLong()) {
        connection.abort();
        onBroken("an event is longer than " + EventStreamFramer.MAX_EVENT_BYTES + " bytes");
        return;
      }
    }
    if (!caller.isWritable()) {
      connection.setAutoRead(false);
    }
  }

  /**
   * Forwards the buffered response. Returns false if it must not be forwarded, since the attempt
   * has ended or the head was rejected.
   */
  private boolean forwardBuffered() {
    final ByteBuf received = buffered;
    buffered = null;
    owner.handle(new RelayEvent.HeadReceived(id, head));
    if (finished || !owner.isResponseStarted()) {
      return false;
    }
    if (received.isReadable()) {
      caller.write(received);
    }
    return true;
  }

  @Override
  public void onEnd() {
    responseEnded = true;
    if (finished) {
      return;
    }
    if (buffered != null && !forwardBuffered()) {
      return;
    }
    final Optional<String> cut = end.findCut();
    if (cut.isPresent()) {
      onBroken(cut.get());
      return;
    }
    if (head.success()) {
      core.planner().recordAnswer(routed.head().prompt(), core.nowMs());
    }
    owner.handle(new RelayEvent.Ended(id));
  }

  @Override
  public void onBroken(final String detail) {
    responseEnded = true;
    if (finished) {
      return;
    }
    finish(AttemptOutcome.FAILED);
    if (!routed.head().prompt().isEmpty()
        && core.nowMs() - responseStartMs.orElse(core.nowMs()) <= RESPONSE_START_MS) {
      core.crashDetector().attemptBroken(target, routed.head().prompt());
    }
    buffered = null;
    core.log().recordFailedAttempt(routed, endpoint, placement, responseStartMs, "broken", detail);
    owner.handle(new RelayEvent.Broken(id, detail));
  }
}
