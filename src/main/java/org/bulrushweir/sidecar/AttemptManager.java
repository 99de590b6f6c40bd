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

/** Runs, resumes and cancels the attempts of one endpoint. */
final class AttemptManager implements AttemptListener, AutoCloseable {

  /** How long an attempt goes on after its connection was lost, in milliseconds. */
  private static final long ORPHAN_GRACE_MS = 10_000;

  /** The attempts that have been accepted, by key. */
  private final Map<AttemptKey, AcceptedAttempt> runs = new HashMap<>();

  /** What routers are told about attempts that are not run, by key. */
  private final Map<AttemptKey, Refusal> refusals = new HashMap<>();

  /** What became of attempts. */
  private final AttemptLedger ledger;

  /** The endpoint. */
  private final EndpointId endpoint;

  /** The life of the sidecar. */
  private final Incarnation incarnation;

  /** The service that the endpoint belongs to. */
  private final ServiceName serviceName;

  /** The clock. */
  private final Clock clock;

  /** Decides what is accepted and what runs next. */
  private final EndpointGate gate;

  /** Runs attempts at the endpoint. */
  private final AttemptExecutor executor;

  /** What this process knows of the fleet. */
  private final FleetService fleet;

  /** The events of this process. */
  private final EventLog events;

  /** The last report; read without the lock by those who follow answers. */
  private volatile Report lastReport = Report.getDefaultInstance();

  /**
   * Creates a manager without attempts.
   *
   * @param endpoint the endpoint
   * @param incarnation the life of the sidecar
   * @param serviceName the service that the endpoint belongs to
   * @param clock the clock
   * @param gate decides what is accepted and what runs next
   * @param executor runs attempts at the endpoint
   * @param fleet what this process knows of the fleet
   * @param events the events of this process
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
   * Takes an attempt, or refuses it.
   *
   * @param channel the connection to the router
   * @param key the attempt
   * @param dispatch the message that asks for it
   * @param offer what admission is told of it
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
    final AcceptedAttempt run = new AcceptedAttempt(key, dispatch, offer, channel);
    runs.put(key, run);
    ledger.put(key, AttemptState.QUEUED, clock.nowMs());
    record(EventKind.ATTEMPT_ADMITTED, key, "");
    channel.send(SidecarMessages.accepted(key, incarnation.value(), firstTokenInMs, report()));
    run.buffer().subscribe(new ChannelSubscriber(key, channel, () -> lastReport), 0);
    pump();
  }

  /**
   * Refuses an attempt that has just come.
   *
   * @param channel the connection to the router
   * @param key the attempt
   * @param kind why
   * @param detail a message for the caller
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

  /** Makes a report and keeps it where peers and this sidecar's own decisions find it. */
  synchronized Report report() {
    final AgedReport aged = new AgedReport(gate.report(clock.nowMs()), 0);
    fleet.learn(aged);
    lastReport = ReportMessages.toWire(aged);
    return lastReport;
  }

  /**
   * Stops an attempt, or makes sure that it never starts.
   *
   * @param channel the connection to the router
   * @param key the attempt
   * @param sentTo the life of the sidecar that the attempt was sent to
   * @param graceMs how long it goes on for a caller that may come back, in milliseconds
   */
  synchronized void cancel(
      final PeerChannel channel, final AttemptKey key, final long sentTo, final long graceMs) {
    final boolean queued = ledger.state(key).filter(AttemptState.QUEUED::equals).isPresent();
    if (queued && graceMs == 0) {
      cancelQueued(key, "cancelled before it started");
    }
    final boolean notRun = ledger.markNotRunIfUnseen(key, sentTo, clock.nowMs());
    if (!isSettled(key)) {
      runs.get(key).cancelAt(clock.nowMs() + graceMs);
    }
    channel.send(SidecarMessages.cancelResult(key, incarnation.value(), notRun));
  }

  private void cancelQueued(final AttemptKey key, final String detail) {
    gate.cancelQueued(key);
    ledger.put(key, AttemptState.NOT_RUN, clock.nowMs());
    refusals.put(
        key, SidecarMessages.refusal(key, RefusalKind.CANCELLED, 0, null, detail, report()));
  }

  private boolean isSettled(final AttemptKey key) {
    return ledger.state(key).map(AttemptState::isFinal).orElse(true);
  }

  /**
   * Sends the rest of an answer.
   *
   * @param channel the connection to the router
   * @param key the attempt
   * @param sentTo the life of the sidecar that the attempt was sent to
   * @param organisation for whom the caller says the request runs
   * @param nextSequence the first part that is missing
   */
  synchronized void resume(
      final PeerChannel channel,
      final AttemptKey key,
      final long sentTo,
      final String organisation,
      final int nextSequence) {
    final AcceptedAttempt run = runs.get(key);
    final boolean foreign = run != null && !run.dispatch().getOrganisation().equals(organisation);
    final ResumeAnswer answer =
        foreign ? ResumeAnswer.LOST : ledger.resume(key, sentTo, clock.nowMs());
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

  /** Lets a router follow an attempt that is known already. */
  private void attach(final AttemptKey key, final PeerChannel channel, final int nextSequence) {
    final AcceptedAttempt run = runs.get(key);
    if (run == null || ledger.state(key).filter(AttemptState.NOT_RUN::equals).isPresent()) {
      final Refusal refusal =
          refusals.getOrDefault(
              key,
              SidecarMessages.refusal(
                  key, RefusalKind.CANCELLED, 0, null, "cancelled before it came", report()));
      channel.send(Envelope.newBuilder().setRefusal(refusal));
      return;
    }
    run.channel(channel);
    run.buffer().subscribe(new ChannelSubscriber(key, channel, () -> lastReport), nextSequence);
  }

  /** Starts queued attempts while slots are free. */
  synchronized void pump() {
    Optional<WorkItem> next = gate.startNext(clock.nowMs());
    while (next.isPresent()) {
      final AcceptedAttempt run = runs.get(next.get().key());
      ledger.put(run.key(), AttemptState.RUNNING, clock.nowMs());
      record(EventKind.ATTEMPT_STARTED, run.key(), "");
      executor.execute(run, this);
      next = gate.startNext(clock.nowMs());
    }
  }

  /** Refuses what waited too long, stops what nobody follows, forgets what is settled. */
  synchronized void tick() {
    final long nowMs = clock.nowMs();
    for (final WorkItem item : gate.expire(nowMs)) {
      refuseAccepted(runs.get(item.key()), RefusalKind.DEADLINE_UNREACHABLE, "it waited too long");
    }
    for (final AcceptedAttempt run : List.copyOf(runs.values())) {
      if (nowMs >= run.cancelAtMs() && !isSettled(run.key())) {
        stop(run);
      }
    }
    for (final AttemptKey key : ledger.evictExpired(nowMs)) {
      runs.remove(key);
      refusals.remove(key);
    }
    pump();
  }

  /** Stops an attempt that nobody follows; one that must not repeat runs on once started. */
  private void stop(final AcceptedAttempt run) {
    if (ledger.state(run.key()).filter(AttemptState.QUEUED::equals).isPresent()) {
      cancelQueued(run.key(), "nobody follows it");
    } else if (run.dispatch().getRepeatable()) {
      run.abort();
    }
  }

  private void refuseAccepted(
      final AcceptedAttempt run, final RefusalKind kind, final String detail) {
    refuse(
        run.channel(),
        run.key(),
        SidecarMessages.refusal(run.key(), kind, 0, null, detail, report()));
  }

  /**
   * Lets the attempts of a router whose connection is lost go on for a while.
   *
   * @param channel the connection
   */
  synchronized void connectionLost(final PeerChannel channel) {
    final long cancelAtMs = clock.nowMs() + ORPHAN_GRACE_MS;
    for (final AcceptedAttempt run : runs.values()) {
      if (run.channel() == channel && !isSettled(run.key())) {
        run.buffer().unsubscribe();
        run.cancelAt(cancelAtMs);
      }
    }
  }

  @Override
  public synchronized void token(final AcceptedAttempt run, final double intervalMs) {
    gate.recordToken(run.key(), intervalMs, clock.nowMs());
  }

  @Override
  public synchronized void cacheBrought(final long chat, final int tokens) {
    gate.recordImport(chat, tokens, clock.nowMs());
  }

  @Override
  public void ended(final AcceptedAttempt run, final AttemptEnd end) {
    synchronized (this) {
      if (isSettled(run.key())) {
        return;
      }
      ledger.put(run.key(), AttemptState.ENDED, clock.nowMs());
      gate.finish(run.key(), cachedTokens(end), clock.nowMs());
      record(EventKind.ATTEMPT_ENDED, run.key(), end.getClass().getSimpleName());
      pump();
      report();
    }
    run.buffer().end(end);
  }

  private static int cachedTokens(final AttemptEnd end) {
    return end instanceof AttemptEnd.Ran ran
        ? ran.summary().promptTokens() + ran.summary().outputTokens()
        : 0;
  }

  @Override
  public synchronized void notRun(
      final AcceptedAttempt run, final RefusalKind kind, final String detail) {
    if (isSettled(run.key())) {
      return;
    }
    gate.finish(run.key(), 0, clock.nowMs());
    refuseAccepted(run, kind, detail);
    pump();
  }

  private void record(final EventKind kind, final AttemptKey key, final String detail) {
    events.add(kind, EventSubject.of(key.request(), key.attempt(), endpoint), detail);
  }

  @Override
  public void close() {
    executor.close();
  }
}
