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

/** Carries the attempts of one router to one endpoint over one connection. */
final class EndpointLink implements PeerListener {

  private static final long PING_AFTER_MS = 300;
  private static final long SILENCE_MS = 1_500;

  private final Map<AttemptKey, InFlight> inFlight = new HashMap<>();
  private final EndpointId endpoint;
  private final PeerService peers;
  private final Clock clock;
  private final FleetService fleet;
  private final EventLog events;
  private PeerChannel channel;
  private CompletableFuture<PeerChannel> connecting;
  private long lastHeardMs;
  private long lastPingMs;

  /**
   * Creates a link without a connection.
   *
   * @param endpoint the endpoint
   * @param peers opens connections
   * @param clock the clock
   * @param fleet what this process knows of the fleet
   * @param events the events of this process
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
   * Sends an attempt.
   *
   * @param target where the endpoint is
   * @param key the attempt
   * @param dispatch the message
   * @param queue where the attempt's events go
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
      lastHeardMs = clock.nowMs();
    }
    final InFlight known = inFlight.get(key);
    final long incarnation =
        known == null ? open.remote().incarnation().value() : known.incarnation();
    inFlight.put(key, new InFlight(queue, open, incarnation));
  }

  /**
   * Asks for the rest of an answer.
   *
   * @param target where the endpoint is
   * @param key the attempt
   * @param nextSequence the first part that is missing
   * @param organisation for whom the request runs
   * @param incarnation the life of the sidecar that the attempt was sent to, zero if this link has
   *     sent it itself
   * @param queue where the attempt's events go
   */
  void resume(
      final EndpointInfo target,
      final AttemptKey key,
      final int nextSequence,
      final String organisation,
      final long incarnation,
      final BlockingQueue<RequestEvent> queue) {
    final long sentTo = incarnation == 0 ? incarnationOf(key) : incarnation;
    connection(target)
        .whenComplete(
            (open, failure) -> {
              if (failure != null) {
                queue.add(new RequestEvent.ConnectionLost(key.attempt()));
                return;
              }
              registerResumed(open, key, sentTo, queue);
              open.send(
                  Envelope.newBuilder()
                      .setResume(
                          Resume.newBuilder()
                              .setRequest(key.request().value())
                              .setAttempt(key.attempt())
                              .setNextSequence(nextSequence)
                              .setOrganisation(organisation)
                              .setIncarnation(sentTo)));
            });
  }

  /**
   * Tells which life of the sidecar an attempt was sent to.
   *
   * @param key the attempt
   * @return the incarnation, zero if this link does not follow the attempt
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
      lastHeardMs = clock.nowMs();
    }
    inFlight.put(key, new InFlight(queue, open, incarnation));
  }

  /**
   * Asks that an attempt be stopped, or never be started.
   *
   * @param target where the endpoint is
   * @param key the attempt
   * @param graceMs how long it goes on for a caller that may come back, in milliseconds
   */
  void cancel(final EndpointInfo target, final AttemptKey key, final long graceMs) {
    final long sentTo = incarnationOf(key);
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
                                .setIncarnation(sentTo))));
  }

  /**
   * Sends a message that needs no answer.
   *
   * @param target where the endpoint is
   * @param envelope the message
   */
  void send(final EndpointInfo target, final Envelope.Builder envelope) {
    connection(target).thenAccept(open -> open.send(envelope));
  }

  /**
   * Stops following an attempt.
   *
   * @param key the attempt
   */
  synchronized void forget(final AttemptKey key) {
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
              opened(opened);
            } else {
              fleet.failed(endpoint);
              events.add(
                  EventKind.ENDPOINT_UNREACHABLE, EventSubject.of(endpoint), failure.getMessage());
            }
          });
    }
    return connecting;
  }

  private synchronized void opened(final PeerChannel newChannel) {
    fleet.reached(endpoint);
    channel = newChannel;
    lastHeardMs = clock.nowMs();
  }

  /** Pings the endpoint while answers are awaited; drops a connection that has gone silent. */
  void tick() {
    final PeerChannel silent = pingOrFindSilent();
    if (silent != null) {
      silent.close();
      lost(silent);
    }
  }

  private synchronized PeerChannel pingOrFindSilent() {
    if (channel == null || inFlight.isEmpty()) {
      return null;
    }
    final long nowMs = clock.nowMs();
    if (nowMs - lastHeardMs > SILENCE_MS) {
      final PeerChannel silent = channel;
      channel = null;
      return silent;
    }
    if (nowMs - lastHeardMs > PING_AFTER_MS && nowMs - lastPingMs > PING_AFTER_MS) {
      lastPingMs = nowMs;
      channel.send(Envelope.newBuilder().setPing(Ping.newBuilder().setNonce(nowMs)));
    }
    return null;
  }

  @Override
  public void closed(final PeerChannel closedChannel) {
    lost(closedChannel);
  }

  private void lost(final PeerChannel lostChannel) {
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
    heard(from);
    switch (envelope.getBodyCase()) {
      case ACCEPTED -> {
        fleet.learn(envelope.getAccepted().getReport());
        pass(
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
          pass(
              envelope.getCancelResult().getRequest(),
              envelope.getCancelResult().getAttempt(),
              new RequestEvent.CancelAnswered(
                  envelope.getCancelResult().getAttempt(),
                  envelope.getCancelResult().getNotStarted()));
      default -> {
        // Hellos and pongs only show that the connection works.
      }
    }
  }

  private synchronized void heard(final PeerChannel from) {
    if (from == channel) {
      lastHeardMs = clock.nowMs();
    }
  }

  private void refused(final Refusal refusal) {
    fleet.learn(refusal.getReport());
    final EndpointId movedTo =
        Identifiers.isValid(refusal.getMovedTo()) ? new EndpointId(refusal.getMovedTo()) : null;
    pass(
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
    pass(
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
    pass(end.getRequest(), end.getAttempt(), new RequestEvent.Ended(end.getAttempt(), attemptEnd));
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
    pass(
        result.getRequest(),
        result.getAttempt(),
        new RequestEvent.ResumeAnswered(result.getAttempt(), answer));
  }

  private void pass(final long request, final int attempt, final RequestEvent event) {
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
   * Remembers where the events of an attempt go.
   *
   * @param queue the queue of the attempt's request
   * @param channel the connection over which it was sent or resumed
   * @param incarnation the life of the sidecar that it was sent to
   */
  private record InFlight(
      BlockingQueue<RequestEvent> queue, PeerChannel channel, long incarnation) {}
}
