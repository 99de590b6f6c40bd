package org.bulrushweir.router;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import org.bulrushweir.api.AttemptKey;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.Identifiers;
import org.bulrushweir.api.RequestId;
import org.bulrushweir.delivery.AnswerPart;
import org.bulrushweir.delivery.AnswerSummary;
import org.bulrushweir.delivery.AttemptEnd;
import org.bulrushweir.delivery.RefusalKind;
import org.bulrushweir.delivery.RequestEvent;
import org.bulrushweir.delivery.ResumeAnswer;
import org.bulrushweir.membership.EndpointInfo;
import org.bulrushweir.node.FleetService;
import org.bulrushweir.node.PeerService;
import org.bulrushweir.sidecar.Refusals;
import org.bulrushweir.timeline.EventKind;
import org.bulrushweir.timeline.EventLog;
import org.bulrushweir.timeline.EventSubject;
import org.bulrushweir.wire.PeerChannel;
import org.bulrushweir.wire.PeerListener;
import org.bulrushweir.wire.generated.Cancel;
import org.bulrushweir.wire.generated.Dispatch;
import org.bulrushweir.wire.generated.End;
import org.bulrushweir.wire.generated.Envelope;
import org.bulrushweir.wire.generated.Frame;
import org.bulrushweir.wire.generated.Ping;
import org.bulrushweir.wire.generated.Refusal;
import org.bulrushweir.wire.generated.Resume;
import org.bulrushweir.wire.generated.ResumeResult;

/**
 * Sends attempts to one endpoint's sidecar and passes the sidecar's messages on to the requests
 * that they belong to. Uses one connection at a time, which is opened when it is needed.
 */
final class EndpointLink implements PeerListener {

  /** The time without a received message after which the sidecar is pinged. */
  private static final long PING_AFTER_MS = 300;

  /** The time without a received message after which the connection counts as lost. */
  private static final long SILENCE_TIMEOUT_MS = 1_500;

  private final Map<AttemptKey, InFlight> inFlight = new HashMap<>();
  private final EndpointId endpoint;
  private final PeerService peers;
  private final Clock clock;
  private final FleetService fleet;
  private final EventLog events;
  private PeerChannel channel;
  private CompletableFuture<PeerChannel> connecting;
  private long lastReceivedMs;
  private long lastPingMs;

  /**
   * Creates a link that is not connected yet.
   *
   * @param endpoint the endpoint
   * @param peers opens connections to other processes
   * @param clock the process's clock
   * @param fleet the view that this process has of the fleet; gets the reports that messages carry
   * @param events the event log of this process
   */
  EndpointLink(
      final EndpointId endpoint,
      final PeerService peers,
      final Clock clock,
      final FleetService fleet,
      final EventLog events) {
    this.endpoint = endpoint;
    this.peers = peers;
    this.clock = clock;
    this.fleet = fleet;
    this.events = events;
  }

  /**
   * Sends an attempt. If no connection can be opened, the attempt counts as refused, since the
   * endpoint has not received it.
   *
   * @param target the endpoint's address
   * @param key the attempt
   * @param dispatch the message, to which the sidecar's incarnation is added
   * @param queue receives the events of the attempt
   */
  void dispatch(
      final EndpointInfo target,
      final AttemptKey key,
      final Dispatch.Builder dispatch,
      final BlockingQueue<RequestEvent> queue) {
    connection(target)
        .whenComplete(
            (open, failure) -> {
              if (failure != null) {
                queue.add(
                    new RequestEvent.Refused(
                        key.attempt(),
                        RefusalKind.UNREACHABLE,
                        0,
                        null,
                        0,
                        "the endpoint can't be reached: " + failure.getMessage()));
                return;
              }
              register(open, key, queue);
              open.send(
                  Envelope.newBuilder()
                      .setDispatch(dispatch.setIncarnation(open.remote().incarnation().value())));
            });
  }

  private synchronized void register(
      final PeerChannel open, final AttemptKey key, final BlockingQueue<RequestEvent> queue) {
    if (inFlight.isEmpty()) {
      lastReceivedMs = clock.nowMs();
    }
    final InFlight known = inFlight.get(key);
    final long incarnation =
        known == null ? open.remote().incarnation().value() : known.incarnation();
    inFlight.put(key, new InFlight(queue, open, incarnation));
  }

  /**
   * Requests the missing rest of an attempt's answer.
   *
   * @param target the endpoint's address
   * @param key the attempt
   * @param nextSequence the sequence number of the first missing part
   * @param organisation the organisation of the request
   * @param incarnation the incarnation of the sidecar that the attempt was sent to; zero if this
   *     link sent it
   * @param queue receives the events of the attempt
   */
  void resume(
      final EndpointInfo target,
      final AttemptKey key,
      final int nextSequence,
      final String organisation,
      final long incarnation,
      final BlockingQueue<RequestEvent> queue) {
    final long sidecarIncarnation = incarnation == 0 ? incarnationOf(key) : incarnation;
    connection(target)
        .whenComplete(
            (open, failure) -> {
              if (failure != null) {
                queue.add(new RequestEvent.ConnectionLost(key.attempt()));
                return;
              }
              registerResumed(open, key, sidecarIncarnation, queue);
              open.send(
                  Envelope.newBuilder()
                      .setResume(
                          Resume.newBuilder()
                              .setRequest(key.request().value())
                              .setAttempt(key.attempt())
                              .setNextSequence(nextSequence)
                              .setOrganisation(organisation)
                              .setIncarnation(sidecarIncarnation)));
            });
  }

  /**
   * Returns the incarnation of the sidecar that an attempt was sent to.
   *
   * @param key the attempt
   * @return the incarnation; zero if the attempt is not registered with this link
   */
  synchronized long incarnationOf(final AttemptKey key) {
    final InFlight known = inFlight.get(key);
    return known == null ? 0 : known.incarnation();
  }

  private synchronized void registerResumed(
      final PeerChannel open,
      final AttemptKey key,
      final long incarnation,
      final BlockingQueue<RequestEvent> queue) {
    if (inFlight.isEmpty()) {
      lastReceivedMs = clock.nowMs();
    }
    inFlight.put(key, new InFlight(queue, open, incarnation));
  }

  /**
   * Asks the sidecar to stop an attempt, or never to start it.
   *
   * @param target the endpoint's address
   * @param key the attempt
   * @param graceMs how long the attempt keeps running in case its caller reconnects, in
   *     milliseconds
   */
  void cancel(final EndpointInfo target, final AttemptKey key, final long graceMs) {
    final long sidecarIncarnation = incarnationOf(key);
    connection(target)
        .thenAccept(
            open ->
                open.send(
                    Envelope.newBuilder()
                        .setCancel(
                            Cancel.newBuilder()
                                .setRequest(key.request().value())
                                .setAttempt(key.attempt())
                                .setGraceMs((int) graceMs)
                                .setIncarnation(sidecarIncarnation))));
  }

  /**
   * Sends a message that has no reply. The message is dropped if no connection can be opened.
   *
   * @param target the endpoint's address
   * @param envelope the message
   */
  void send(final EndpointInfo target, final Envelope.Builder envelope) {
    connection(target).thenAccept(open -> open.send(envelope));
  }

  /**
   * Stops passing on the messages about an attempt.
   *
   * @param key the attempt
   */
  synchronized void unregister(final AttemptKey key) {
    inFlight.remove(key);
  }

  private synchronized CompletableFuture<PeerChannel> connection(final EndpointInfo target) {
    if (channel != null && channel.isOpen()) {
      return CompletableFuture.completedFuture(channel);
    }
    if (connecting == null || connecting.isDone()) {
      connecting = peers.connect(target.host(), target.port(), this);
      connecting.whenComplete(
          (opened, failure) -> {
            if (failure == null) {
              connectionOpened(opened);
            } else {
              fleet.failed(endpoint);
              events.add(
                  EventKind.ENDPOINT_UNREACHABLE, EventSubject.of(endpoint), failure.getMessage());
            }
          });
    }
    return connecting;
  }

  private synchronized void connectionOpened(final PeerChannel newChannel) {
    fleet.reached(endpoint);
    channel = newChannel;
    lastReceivedMs = clock.nowMs();
  }

  /**
   * Pings the sidecar while attempts are in flight, and closes a connection on which nothing was
   * received for too long.
   */
  void tick() {
    final PeerChannel silent = pingOrFindSilent();
    if (silent != null) {
      silent.close();
      connectionLost(silent);
    }
  }

  private synchronized PeerChannel pingOrFindSilent() {
    if (channel == null || inFlight.isEmpty()) {
      return null;
    }
    final long nowMs = clock.nowMs();
    if (nowMs - lastReceivedMs > SILENCE_TIMEOUT_MS) {
      final PeerChannel silent = channel;
      channel = null;
      return silent;
    }
    if (nowMs - lastReceivedMs > PING_AFTER_MS && nowMs - lastPingMs > PING_AFTER_MS) {
      lastPingMs = nowMs;
      channel.send(Envelope.newBuilder().setPing(Ping.newBuilder().setNonce(nowMs)));
    }
    return null;
  }

  @Override
  public void closed(final PeerChannel closedChannel) {
    connectionLost(closedChannel);
  }

  private void connectionLost(final PeerChannel lostChannel) {
    final List<Map.Entry<AttemptKey, InFlight>> affected;
    synchronized (this) {
      if (channel == lostChannel) {
        channel = null;
      }
      affected =
          inFlight.entrySet().stream()
              .filter(entry -> entry.getValue().channel() == lostChannel)
              .map(entry -> Map.entry(entry.getKey(), entry.getValue()))
              .toList();
    }
    affected.forEach(
        entry ->
            entry
                .getValue()
                .queue()
                .add(new RequestEvent.ConnectionLost(entry.getKey().attempt())));
  }

  @Override
  public void received(final PeerChannel from, final Envelope envelope) {
    recordReceipt(from);
    switch (envelope.getBodyCase()) {
      case ACCEPTED -> {
        fleet.learn(envelope.getAccepted().getReport());
        enqueue(
            envelope.getAccepted().getRequest(),
            envelope.getAccepted().getAttempt(),
            new RequestEvent.Accepted(
                envelope.getAccepted().getAttempt(), envelope.getAccepted().getFirstTokenInMs()));
      }
      case REFUSAL -> refused(envelope.getRefusal());
      case FRAME -> frame(envelope.getFrame());
      case END -> ended(envelope.getEnd());
      case RESUME_RESULT -> resumeAnswered(envelope.getResumeResult());
      case CANCEL_RESULT ->
          enqueue(
              envelope.getCancelResult().getRequest(),
              envelope.getCancelResult().getAttempt(),
              new RequestEvent.CancelAnswered(
                  envelope.getCancelResult().getAttempt(),
                  envelope.getCancelResult().getNotStarted()));
      default -> {
        // Hello and Pong messages only show that the connection is alive.
      }
    }
  }

  private synchronized void recordReceipt(final PeerChannel from) {
    if (from == channel) {
      lastReceivedMs = clock.nowMs();
    }
  }

  private void refused(final Refusal refusal) {
    fleet.learn(refusal.getReport());
    final EndpointId movedTo =
        Identifiers.isValid(refusal.getMovedTo()) ? new EndpointId(refusal.getMovedTo()) : null;
    enqueue(
        refusal.getRequest(),
        refusal.getAttempt(),
        new RequestEvent.Refused(
            refusal.getAttempt(),
            Refusals.fromWire(refusal.getReason()),
            refusal.getRetryAfterMs(),
            movedTo,
            refusal.getCachedTokens(),
            refusal.getDetail()));
  }

  private void frame(final Frame frame) {
    enqueue(
        frame.getRequest(),
        frame.getAttempt(),
        new RequestEvent.PartArrived(
            frame.getAttempt(),
            frame.getSequence(),
            new AnswerPart(frame.getPayload(), frame.getTokens())));
  }

  private void ended(final End end) {
    fleet.learn(end.getReport());
    final AttemptEnd attemptEnd =
        switch (end.getState()) {
          case RAN -> new AttemptEnd.Ran(end.getFrames(), summary(end));
          case BROKEN -> new AttemptEnd.Broken(end.getFrames(), end.getDetail());
          default -> new AttemptEnd.Unknown(end.getDetail());
        };
    enqueue(
        end.getRequest(), end.getAttempt(), new RequestEvent.Ended(end.getAttempt(), attemptEnd));
  }

  private static AnswerSummary summary(final End end) {
    return new AnswerSummary(
        end.getHttpStatus(),
        end.getContentType(),
        end.getPromptTokens(),
        end.getCachedTokens(),
        end.getOutputTokens(),
        end.getFinishReason(),
        end.getReplayed());
  }

  private void resumeAnswered(final ResumeResult result) {
    final ResumeAnswer answer =
        switch (result.getState()) {
          case RESUMED -> ResumeAnswer.RESUMED;
          case NEVER_SEEN -> ResumeAnswer.NEVER_SEEN;
          default -> ResumeAnswer.LOST;
        };
    enqueue(
        result.getRequest(),
        result.getAttempt(),
        new RequestEvent.ResumeAnswered(result.getAttempt(), answer));
  }

  private void enqueue(final long request, final int attempt, final RequestEvent event) {
    final InFlight found;
    synchronized (this) {
      found = inFlight.get(new AttemptKey(new RequestId(request), attempt));
    }
    if (found != null) {
      found.queue().add(event);
    }
  }

  @Override
  public String toString() {
    return "link to " + endpoint;
  }

  /**
   * Describes an attempt whose messages are passed on.
   *
   * @param queue the event queue of the attempt's request
   * @param channel the connection over which the attempt was sent or last resumed
   * @param incarnation the incarnation of the sidecar that the attempt was sent to; zero if unknown
   */
  private record InFlight(
      BlockingQueue<RequestEvent> queue, PeerChannel channel, long incarnation) {}
}
