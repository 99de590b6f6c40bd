package org.bulrushweir.sidecar;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushweir.admission.AdmissionDecision;
import org.bulrushweir.admission.EndpointGate;
import org.bulrushweir.admission.Offer;
import org.bulrushweir.admission.WorkItem;
import org.bulrushweir.api.AttemptKey;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.Incarnation;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.delivery.AttemptEnd;
import org.bulrushweir.delivery.AttemptLedger;
import org.bulrushweir.delivery.AttemptState;
import org.bulrushweir.delivery.RefusalKind;
import org.bulrushweir.delivery.ResumeAnswer;
import org.bulrushweir.membership.AgedReport;
import org.bulrushweir.node.FleetService;
import org.bulrushweir.node.ReportMessages;
import org.bulrushweir.timeline.EventKind;
import org.bulrushweir.timeline.EventLog;
import org.bulrushweir.timeline.EventSubject;
import org.bulrushweir.wire.PeerChannel;
import org.bulrushweir.wire.generated.Dispatch;
import org.bulrushweir.wire.generated.Envelope;
import org.bulrushweir.wire.generated.Refusal;
import org.bulrushweir.wire.generated.Report;
import org.bulrushweir.wire.generated.ResumeState;

/** Accepts or refuses, runs, resumes and cancels the attempts sent to one endpoint. */
final class AttemptManager implements AttemptListener, AutoCloseable {

  /**
   * Time that an attempt continues after its connection was lost, so that a router can resume it,
   * in milliseconds.
   */
  private static final long CONNECTION_LOST_GRACE_MS = 10_000;

  /** The accepted attempts. */
  private final Map<AttemptKey, AcceptedAttempt> attempts = new HashMap<>();

  /** The refusals that were or will be sent for attempts that are not run. */
  private final Map<AttemptKey, Refusal> refusals = new HashMap<>();

  /** Records the state of every attempt that was received or that a router has asked about. */
  private final AttemptLedger ledger;

  private final EndpointId endpoint;

  /** The incarnation of this sidecar. */
  private final Incarnation incarnation;

  /** The service that the endpoint belongs to. */
  private final ServiceName serviceName;

  private final Clock clock;

  /** Decides which attempts are accepted and which runs next; guarded by this manager's lock. */
  private final EndpointGate gate;

  /** Sends attempts to the endpoint. */
  private final AttemptExecutor executor;

  /** This process's view of the fleet. */
  private final FleetService fleet;

  /** The event log of this process. */
  private final EventLog events;

  /** The last report; the subscribers of answers read it without the lock. */
  private volatile Report lastReport = Report.getDefaultInstance();

  /**
   * Creates a manager without attempts.
   *
   * @param endpoint the endpoint
   * @param incarnation the incarnation of this sidecar
   * @param serviceName the service that the endpoint belongs to
   * @param clock the clock
   * @param gate decides which attempts are accepted and which runs next
   * @param executor sends attempts to the endpoint
   * @param fleet this process's view of the fleet
   * @param events the event log of this process
   */
  AttemptManager(
      final EndpointId endpoint,
      final Incarnation incarnation,
      final ServiceName serviceName,
      final Clock clock,
      final EndpointGate gate,
      final AttemptExecutor executor,
      final FleetService fleet,
      final EventLog events) {
    this.endpoint = endpoint;
    this.incarnation = incarnation;
    this.serviceName = serviceName;
    this.clock = clock;
    this.gate = gate;
    this.executor = executor;
    this.fleet = fleet;
    this.events = events;
    this.ledger = new AttemptLedger(incarnation);
  }

  /**
   * Accepts or refuses an attempt. A repeated dispatch of a known attempt only subscribes the
   * router to it again.
   *
   * @param channel the connection to the sending router
   * @param key the attempt
   * @param dispatch the router's message
   * @param offer the attempt as admission control sees it
   */
  synchronized void dispatch(
      final PeerChannel channel, final AttemptKey key, final Dispatch dispatch, final Offer offer) {
    if (ledger.state(key).isPresent()) {
      attach(key, channel, 0);
      return;
    }
    if (!ledger.matchesIncarnation(dispatch.getIncarnation())) {
      refuse(channel, key, RefusalKind.WRONG_INCARNATION, "the sidecar was restarted");
      return;
    }
    report();
    switch (gate.offer(offer, fleet.statistics(serviceName, endpoint))) {
      case AdmissionDecision.Refused refused ->
          refuse(
              channel,
              key,
              SidecarMessages.refusal(
                      key,
                      refused.kind(),
                      refused.retryAfterMs(),
                      refused.movedTo(),
                      "the endpoint does not take the request now",
                      report())
                  .toBuilder()
                  .setCachedTokens(refused.cachedTokens())
                  .build());
      case AdmissionDecision.Admitted admitted ->
          accept(channel, key, dispatch, offer, admitted.firstTokenInMs());
    }
  }

  private void accept(
      final PeerChannel channel,
      final AttemptKey key,
      final Dispatch dispatch,
      final Offer offer,
      final long firstTokenInMs) {
    final AcceptedAttempt attempt = new AcceptedAttempt(key, dispatch, offer, channel);
    attempts.put(key, attempt);
    ledger.put(key, AttemptState.QUEUED, clock.nowMs());
    record(EventKind.ATTEMPT_ADMITTED, key, "");
    channel.send(SidecarMessages.accepted(key, incarnation.value(), firstTokenInMs, report()));
    attempt.buffer().subscribe(new ChannelSubscriber(key, channel, () -> lastReport), 0);
    startQueued();
  }

  /**
   * Refuses an attempt that was not accepted before.
   *
   * @param channel the connection to the sending router
   * @param key the attempt
   * @param kind the reason
   * @param detail the message for the caller
   */
  synchronized void refuse(
      final PeerChannel channel,
      final AttemptKey key,
      final RefusalKind kind,
      final String detail) {
    refuse(channel, key, SidecarMessages.refusal(key, kind, 0, null, detail, report()));
  }

  private void refuse(final PeerChannel channel, final AttemptKey key, final Refusal refusal) {
    ledger.put(key, AttemptState.NOT_RUN, clock.nowMs());
    refusals.put(key, refusal);
    record(EventKind.ATTEMPT_REFUSED, key, refusal.getReason().name());
    channel.send(Envelope.newBuilder().setRefusal(refusal));
  }

  /**
   * Creates a report of the endpoint and publishes it to gossip, to the answers' subscribers and to
   * this sidecar's own admission decisions.
   */
  synchronized Report report() {
    final AgedReport aged = new AgedReport(gate.report(clock.nowMs()), 0);
    fleet.learn(aged);
    lastReport = ReportMessages.toWire(aged);
    return lastReport;
  }

  /**
   * Cancels an attempt after a grace period; an attempt that was not received yet is marked as not
   * run, so that it will never start.
   *
   * @param channel the connection to the sending router
   * @param key the attempt
   * @param sentToIncarnation the sidecar incarnation that the attempt was sent to
   * @param graceMs the time that the attempt continues in case the caller reconnects, in
   *     milliseconds
   */
  synchronized void cancel(
      final PeerChannel channel,
      final AttemptKey key,
      final long sentToIncarnation,
      final long graceMs) {
    final boolean queued = ledger.state(key).filter(AttemptState.QUEUED::equals).isPresent();
    if (queued && graceMs == 0) {
      cancelQueued(key, "cancelled before it started");
    }
    final boolean notRun = ledger.markNotRunIfUnseen(key, sentToIncarnation, clock.nowMs());
    if (!isSettled(key)) {
      attempts.get(key).cancelAt(clock.nowMs() + graceMs);
    }
    channel.send(SidecarMessages.cancelResult(key, incarnation.value(), notRun));
  }

  private void cancelQueued(final AttemptKey key, final String detail) {
    gate.cancelQueued(key);
    ledger.put(key, AttemptState.NOT_RUN, clock.nowMs());
    refusals.put(
        key, SidecarMessages.refusal(key, RefusalKind.CANCELLED, 0, null, detail, report()));
  }

  /** Returns whether an attempt is in a final state or unknown. */
  private boolean isSettled(final AttemptKey key) {
    return ledger.state(key).map(AttemptState::isFinal).orElse(true);
  }

  /**
   * Resumes sending an answer over another connection.
   *
   * @param channel the connection to the sending router
   * @param key the attempt
   * @param sentToIncarnation the sidecar incarnation that the attempt was sent to
   * @param organisation the organisation that the caller names; an attempt of another organisation
   *     is reported as lost
   * @param nextSequence the sequence number of the first missing part
   */
  synchronized void resume(
      final PeerChannel channel,
      final AttemptKey key,
      final long sentToIncarnation,
      final String organisation,
      final int nextSequence) {
    final AcceptedAttempt attempt = attempts.get(key);
    final boolean otherOrganisation =
        attempt != null && !attempt.dispatch().getOrganisation().equals(organisation);
    final ResumeAnswer answer =
        otherOrganisation
            ? ResumeAnswer.LOST
            : ledger.resume(key, sentToIncarnation, clock.nowMs());
    final ResumeState state =
        switch (answer) {
          case RESUMED -> ResumeState.RESUMED;
          case NEVER_SEEN -> ResumeState.NEVER_SEEN;
          case LOST -> ResumeState.LOST;
        };
    channel.send(SidecarMessages.resumeResult(key, incarnation.value(), state));
    if (answer == ResumeAnswer.RESUMED) {
      attach(key, channel, nextSequence);
    }
  }

  /** Subscribes a router to an attempt that was received before, or repeats its refusal. */
  private void attach(final AttemptKey key, final PeerChannel channel, final int nextSequence) {
    final AcceptedAttempt attempt = attempts.get(key);
    if (attempt == null || ledger.state(key).filter(AttemptState.NOT_RUN::equals).isPresent()) {
      final Refusal refusal =
          refusals.getOrDefault(
              key,
              SidecarMessages.refusal(
                  key, RefusalKind.CANCELLED, 0, null, "cancelled before it came", report()));
      channel.send(Envelope.newBuilder().setRefusal(refusal));
      return;
    }
    attempt.channel(channel);
    attempt.buffer().subscribe(new ChannelSubscriber(key, channel, () -> lastReport), nextSequence);
  }

  /** Starts queued attempts until no slot is free for the next one. */
  synchronized void startQueued() {
    Optional<WorkItem> next = gate.startNext(clock.nowMs());
    while (next.isPresent()) {
      final AcceptedAttempt attempt = attempts.get(next.get().key());
      ledger.put(attempt.key(), AttemptState.RUNNING, clock.nowMs());
      record(EventKind.ATTEMPT_STARTED, attempt.key(), "");
      executor.execute(attempt, this);
      next = gate.startNext(clock.nowMs());
    }
  }

  /**
   * Refuses attempts that can no longer start in time, stops those whose grace period is over,
   * removes old settled ones, and starts queued ones.
   */
  synchronized void tick() {
    final long nowMs = clock.nowMs();
    for (final WorkItem item : gate.expire(nowMs)) {
      refuseAccepted(
          attempts.get(item.key()), RefusalKind.DEADLINE_UNREACHABLE, "it waited too long");
    }
    for (final AcceptedAttempt attempt : List.copyOf(attempts.values())) {
      if (nowMs >= attempt.cancelAtMs() && !isSettled(attempt.key())) {
        stopAbandoned(attempt);
      }
    }
    for (final AttemptKey key : ledger.evictExpired(nowMs)) {
      attempts.remove(key);
      refusals.remove(key);
    }
    startQueued();
  }

  /**
   * Stops an attempt whose grace period is over. An attempt that is not retryable runs to its end
   * once it has started.
   */
  private void stopAbandoned(final AcceptedAttempt attempt) {
    if (ledger.state(attempt.key()).filter(AttemptState.QUEUED::equals).isPresent()) {
      cancelQueued(attempt.key(), "nobody follows it");
    } else if (attempt.dispatch().getRepeatable()) {
      attempt.abort();
    }
  }

  private void refuseAccepted(
      final AcceptedAttempt attempt, final RefusalKind kind, final String detail) {
    refuse(
        attempt.channel(),
        attempt.key(),
        SidecarMessages.refusal(attempt.key(), kind, 0, null, detail, report()));
  }

  /**
   * Unsubscribes the router of a lost connection from its attempts and starts their grace period.
   *
   * @param channel the lost connection
   */
  synchronized void connectionLost(final PeerChannel channel) {
    final long cancelAtMs = clock.nowMs() + CONNECTION_LOST_GRACE_MS;
    for (final AcceptedAttempt attempt : attempts.values()) {
      if (attempt.channel() == channel && !isSettled(attempt.key())) {
        attempt.buffer().unsubscribe();
        attempt.cancelAt(cancelAtMs);
      }
    }
  }

  @Override
  public synchronized void onToken(final AcceptedAttempt attempt, final double intervalMs) {
    gate.recordToken(attempt.key(), intervalMs, clock.nowMs());
  }

  @Override
  public synchronized void onCacheImported(final long chat, final int tokens) {
    gate.recordImport(chat, tokens, clock.nowMs());
  }

  @Override
  public void onEnd(final AcceptedAttempt attempt, final AttemptEnd end) {
    synchronized (this) {
      if (isSettled(attempt.key())) {
        return;
      }
      ledger.put(attempt.key(), AttemptState.ENDED, clock.nowMs());
      gate.finish(attempt.key(), tokensInCacheAfter(end), clock.nowMs());
      record(EventKind.ATTEMPT_ENDED, attempt.key(), end.getClass().getSimpleName());
      startQueued();
      report();
    }
    attempt.buffer().end(end);
  }

  private static int tokensInCacheAfter(final AttemptEnd end) {
    return end instanceof AttemptEnd.Ran ran
        ? ran.summary().promptTokens() + ran.summary().outputTokens()
        : 0;
  }

  @Override
  public synchronized void onNotRun(
      final AcceptedAttempt attempt, final RefusalKind kind, final String detail) {
    if (isSettled(attempt.key())) {
      return;
    }
    gate.finish(attempt.key(), 0, clock.nowMs());
    refuseAccepted(attempt, kind, detail);
    startQueued();
  }

  private void record(final EventKind kind, final AttemptKey key, final String detail) {
    events.add(kind, EventSubject.of(key.request(), key.attempt(), endpoint), detail);
  }

  @Override
  public void close() {
    executor.close();
  }
}
