package org.bulrushweir.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushweir.admission.AdmissionDecision;
import org.bulrushweir.admission.AttemptKey;
import org.bulrushweir.admission.EndpointGate;
import org.bulrushweir.admission.Offer;
import org.bulrushweir.admission.WorkItem;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.Identifiers;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.api.RequestId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.configuration.AcceptedConfig;
import org.bulrushweir.declaration.ServiceDeclaration;
import org.bulrushweir.delivery.AttemptEnd;
import org.bulrushweir.delivery.RefusalKind;
import org.bulrushweir.membership.AgedReport;
import org.bulrushweir.membership.EndpointReport;
import org.bulrushweir.node.FleetService;
import org.bulrushweir.node.ReportMessages;
import org.bulrushweir.timeline.EventKind;
import org.bulrushweir.timeline.EventLog;
import org.bulrushweir.timeline.EventSubject;
import org.bulrushweir.wire.PeerChannel;
import org.bulrushweir.wire.PeerIdentity;
import org.bulrushweir.wire.PeerListener;
import org.bulrushweir.wire.generated.CacheTransfer;
import org.bulrushweir.wire.generated.Cancel;
import org.bulrushweir.wire.generated.ChatMoved;
import org.bulrushweir.wire.generated.Dispatch;
import org.bulrushweir.wire.generated.DrainResult;
import org.bulrushweir.wire.generated.Envelope;
import org.bulrushweir.wire.generated.Refusal;
import org.bulrushweir.wire.generated.Report;
import org.bulrushweir.wire.generated.Resume;
import org.bulrushweir.wire.generated.ResumeState;

/** Accepts, queues, runs, resumes and cancels the attempts that routers send to one endpoint. */
public final class SidecarCore implements PeerListener, AutoCloseable {

  /** How long settled attempts are remembered, in milliseconds. */
  private static final long RETENTION_MS = 60_000;

  /** How long an attempt waits for the configuration that it came under, in milliseconds. */
  private static final long CONFIG_WAIT_MS = 500;

  /** How long an attempt goes on after its connection was lost, in milliseconds. */
  private static final long ORPHAN_GRACE_MS = 10_000;

  /** The attempts by key, settled ones included. */
  private final Map<AttemptKey, SidecarRun> runs = new HashMap<>();

  /** The attempts that wait for a configuration. */
  private final List<DeferredDispatch> deferred = new ArrayList<>();

  /** Who this process is. */
  private final PeerIdentity self;

  /** The service that the endpoint belongs to. */
  private final ServiceName serviceName;

  /** The clock. */
  private final Clock clock;

  /** Decides what is accepted and what runs next. */
  private final EndpointGate gate;

  /** Runs attempts at the endpoint. */
  private final RunExecutor executor;

  /** What this process knows of the fleet. */
  private final FleetService fleet;

  /** The events of this process. */
  private final EventLog events;

  /** The configuration in force, null before the first one. */
  private AcceptedConfig config;

  /** Whether an operator has asked that the endpoint be drained, or the process is stopping. */
  private boolean drainRequested;

  /** Whether the operators' text says that the endpoint shall be drained. */
  private boolean drainDeclared;

  /**
   * Creates the core of a sidecar.
   *
   * @param self who this process is
   * @param serviceName the service that the endpoint belongs to
   * @param clock the clock
   * @param gate decides what is accepted and what runs next
   * @param executor runs attempts at the endpoint
   * @param fleet what this process knows of the fleet
   * @param events the events of this process
   */
  SidecarCore(
      final PeerIdentity self,
      final ServiceName serviceName,
      final Clock clock,
      final EndpointGate gate,
      final RunExecutor executor,
      final FleetService fleet,
      final EventLog events) {
    this.self = self;
    this.serviceName = serviceName;
    this.clock = clock;
    this.gate = gate;
    this.executor = executor;
    this.fleet = fleet;
    this.events = events;
  }

  /**
   * Puts a configuration in force.
   *
   * @param newConfig the configuration
   */
  public synchronized void reconfigure(final AcceptedConfig newConfig) {
    config = newConfig;
    final ServiceDeclaration service = newConfig.declaration().services().get(serviceName);
    if (service != null) {
      drainDeclared = service.drained().contains(new EndpointId(self.node().value()));
      updateLeaving();
      gate.reconfigure(AdmissionSettingsReader.read(newConfig.declaration(), service));
    }
    dispatchDeferred();
    pump();
  }

  /** Refuses all new work until an operator's text or the process's end says otherwise. */
  public synchronized void leave() {
    drainRequested = true;
    updateLeaving();
  }

  private void updateLeaving() {
    final boolean leaving = drainRequested || drainDeclared;
    if (leaving != gate.isLeaving()) {
      gate.leaving(leaving);
      events.add(
          leaving ? EventKind.ENDPOINT_LEAVING : EventKind.ENDPOINT_RETURNED,
          EventSubject.of(new EndpointId(self.node().value())),
          gate.inFlight() + " attempts in flight");
      report();
    }
  }

  /**
   * Tells whether the endpoint takes no new work.
   *
   * @return true if it is leaving
   */
  public synchronized boolean isLeaving() {
    return gate.isLeaving();
  }

  /**
   * Lists the chats that ran here last.
   *
   * @return the chats, the one used last first
   */
  synchronized List<CacheHandover.RememberedChat> chatsHere() {
    final List<CacheHandover.RememberedChat> chats = new ArrayList<>();
    for (final Long chat : gate.chatsHere()) {
      gate.location(chat)
          .ifPresent(location -> chats.add(new CacheHandover.RememberedChat(chat, location)));
    }
    return chats;
  }

  /**
   * Counts the attempts that are queued or running.
   *
   * @return the number of attempts
   */
  public synchronized int inFlight() {
    return gate.inFlight();
  }

  /**
   * Returns the work that the endpoint carries.
   *
   * @return the load in work units
   */
  public synchronized long load() {
    return gate.load();
  }

  @Override
  public void received(final PeerChannel channel, final Envelope envelope) {
    switch (envelope.getBodyCase()) {
      case DISPATCH ->
          dispatchWhenReady(channel, envelope.getConfigNumber(), envelope.getDispatch());
      case CANCEL -> cancel(channel, envelope.getCancel());
      case RESUME -> resume(channel, envelope.getResume());
      case CHAT_MOVED -> moved(envelope.getChatMoved());
      case CACHE_TRANSFER -> cacheTransferred(envelope.getCacheTransfer());
      case DRAIN_REQUEST -> drain(channel);
      default -> {
        // Other messages are for other listeners.
      }
    }
  }

  @Override
  public synchronized void closed(final PeerChannel channel) {
    final long cancelAtMs = clock.nowMs() + ORPHAN_GRACE_MS;
    for (final SidecarRun run : runs.values()) {
      if (run.channel() == channel && !run.isSettled()) {
        run.buffer().unsubscribe();
        run.cancelAt(cancelAtMs);
      }
    }
  }

  private void drain(final PeerChannel channel) {
    leave();
    channel.send(
        Envelope.newBuilder().setDrainResult(DrainResult.newBuilder().setInFlight(inFlight())));
  }

  private synchronized void moved(final ChatMoved message) {
    if (message.getChat() != 0 && Identifiers.isValid(message.getEndpoint())) {
      gate.moved(message.getChat(), new EndpointId(message.getEndpoint()), clock.nowMs());
    }
  }

  private void cacheTransferred(final CacheTransfer transfer) {
    executor.importCache(
        transfer,
        () -> {
          synchronized (this) {
            gate.imported(transfer.getChat(), transfer.getTokens(), clock.nowMs());
          }
        });
  }

  /** Lets an attempt wait for the configuration under which its router has sent it. */
  private synchronized void dispatchWhenReady(
      final PeerChannel channel, final long configNumber, final Dispatch dispatch) {
    if (config != null && config.number().value() >= configNumber) {
      dispatch(channel, dispatch);
      return;
    }
    deferred.add(
        new DeferredDispatch(channel, configNumber, dispatch, clock.nowMs() + CONFIG_WAIT_MS));
  }

  /** Dispatches what has waited for the configuration, or refuses what has waited too long. */
  private void dispatchDeferred() {
    final long nowMs = clock.nowMs();
    final List<DeferredDispatch> waiting = new ArrayList<>(deferred);
    deferred.clear();
    for (final DeferredDispatch each : waiting) {
      if (config != null && config.number().value() >= each.configNumber()) {
        dispatch(each.channel(), each.dispatch());
      } else if (nowMs < each.refuseAtMs()) {
        deferred.add(each);
      } else {
        refuse(
            each.channel(),
            key(each.dispatch()),
            new AdmissionDecision.Refused(RefusalKind.NOT_READY, 0, null),
            "the endpoint does not have configuration " + each.configNumber() + " yet");
      }
    }
  }

  private static AttemptKey key(final Dispatch dispatch) {
    return new AttemptKey(new RequestId(dispatch.getRequest()), dispatch.getAttempt());
  }

  private void dispatch(final PeerChannel channel, final Dispatch dispatch) {
    final AttemptKey key = key(dispatch);
    dispatch.getReportsList().forEach(fleet::learn);
    final SidecarRun known = runs.get(key);
    if (known != null) {
      attach(known, channel, 0);
      return;
    }
    if (dispatch.getIncarnation() != 0 && dispatch.getIncarnation() != self.incarnation().value()) {
      refuse(
          channel,
          key,
          new AdmissionDecision.Refused(RefusalKind.WRONG_INCARNATION, 0, null),
          "the sidecar was restarted");
      return;
    }
    final Optional<String> fault = fault(dispatch);
    if (fault.isPresent()) {
      refuse(
          channel,
          key,
          new AdmissionDecision.Refused(RefusalKind.BAD_REQUEST, 0, null),
          fault.get());
      return;
    }
    admit(channel, key, dispatch);
  }

  private Optional<String> fault(final Dispatch dispatch) {
    if (!dispatch.getService().equals(serviceName.value())) {
      return Optional.of("this endpoint does not serve \"" + dispatch.getService() + '"');
    }
    if (!config.declaration().services().containsKey(serviceName)) {
      return Optional.of("service \"" + serviceName + "\" is not declared");
    }
    if (!config.declaration().classes().containsKey(dispatch.getWorkClass())) {
      return Optional.of("class \"" + dispatch.getWorkClass() + "\" is not declared");
    }
    if (!Identifiers.isValid(dispatch.getOrganisation())) {
      return Optional.of("\"" + dispatch.getOrganisation() + "\" is not an organisation");
    }
    return Optional.empty();
  }

  private void admit(final PeerChannel channel, final AttemptKey key, final Dispatch dispatch) {
    final Offer offer = offer(key, dispatch);
    report();
    switch (gate.offer(offer, fleet.statistics(serviceName))) {
      case AdmissionDecision.Refused refused ->
          refuse(channel, key, refused, "the endpoint does not take the request now");
      case AdmissionDecision.Admitted admitted -> {
        final SidecarRun run = new SidecarRun(dispatch, key, offer, channel);
        runs.put(key, run);
        record(EventKind.ATTEMPT_ADMITTED, key, "");
        channel.send(SidecarMessages.accepted(key, self.incarnation().value(), report()));
        run.buffer().subscribe(new ChannelSubscriber(key, channel, this::report), 0);
        pump();
      }
    }
  }

  private Offer offer(final AttemptKey key, final Dispatch dispatch) {
    final long nowMs = clock.nowMs();
    final long startWithinMs =
        dispatch.getFirstTokenMs() == 0 ? dispatch.getDeadlineMs() : dispatch.getFirstTokenMs();
    return new Offer(
        key,
        new OrganisationId(dispatch.getOrganisation()),
        config.declaration().classes().get(dispatch.getWorkClass()),
        dispatch.getChat(),
        dispatch.getPromptTokens() + dispatch.getContinuationTokens(),
        dispatch.getExpectedOutputTokens() - dispatch.getContinuationTokens(),
        dispatch.getCacheExpected(),
        nowMs,
        nowMs + startWithinMs);
  }

  private void record(final EventKind kind, final AttemptKey key, final String detail) {
    events.add(
        kind,
        EventSubject.of(key.request(), key.attempt(), new EndpointId(self.node().value())),
        detail);
  }

  /** Makes a report and keeps it where peers and this sidecar's own decisions find it. */
  private synchronized Report report() {
    final EndpointReport report = gate.report(clock.nowMs());
    final AgedReport aged = new AgedReport(report, 0);
    fleet.learn(aged);
    return ReportMessages.toWire(aged);
  }

  private void refuse(
      final PeerChannel channel,
      final AttemptKey key,
      final AdmissionDecision.Refused refused,
      final String detail) {
    final Refusal refusal =
        SidecarMessages.refusal(
            key, refused.kind(), refused.retryAfterMs(), refused.movedTo(), detail, report());
    bury(key, refusal);
    record(EventKind.ATTEMPT_REFUSED, key, refused.kind().name());
    channel.send(Envelope.newBuilder().setRefusal(refusal));
  }

  /** Makes sure that an attempt will not run even if its dispatch comes later. */
  private void bury(final AttemptKey key, final Refusal refusal) {
    final SidecarRun tombstone = new SidecarRun(null, key, null, null);
    tombstone.refuse(refusal, clock.nowMs());
    runs.put(key, tombstone);
  }

  private Refusal cancelled(final AttemptKey key, final String detail) {
    return SidecarMessages.refusal(key, RefusalKind.CANCELLED, 0, null, detail, report());
  }

  private synchronized void cancel(final PeerChannel channel, final Cancel cancel) {
    final AttemptKey key = new AttemptKey(new RequestId(cancel.getRequest()), cancel.getAttempt());
    deferred.removeIf(each -> key(each.dispatch()).equals(key));
    SidecarRun run = runs.get(key);
    if (run == null) {
      bury(key, cancelled(key, "cancelled before it came"));
      run = runs.get(key);
    }
    if (run.state() == RunState.QUEUED && cancel.getGraceMs() == 0) {
      gate.cancelQueued(key);
      run.refuse(cancelled(key, "cancelled before it started"), clock.nowMs());
    }
    if (!run.isSettled()) {
      run.cancelAt(clock.nowMs() + cancel.getGraceMs());
    }
    channel.send(
        SidecarMessages.cancelResult(
            key, self.incarnation().value(), run.state() == RunState.REFUSED));
  }

  private synchronized void resume(final PeerChannel channel, final Resume resume) {
    final AttemptKey key = new AttemptKey(new RequestId(resume.getRequest()), resume.getAttempt());
    final SidecarRun run = runs.get(key);
    if (run == null) {
      resumeUnseen(channel, key, resume.getIncarnation());
      return;
    }
    final boolean foreign =
        run.dispatch() != null
            && !run.dispatch().getOrganisation().equals(resume.getOrganisation());
    if (foreign) {
      answerResume(channel, key, ResumeState.LOST);
      return;
    }
    answerResume(channel, key, ResumeState.RESUMED);
    attach(run, channel, resume.getNextSequence());
  }

  private void resumeUnseen(
      final PeerChannel channel, final AttemptKey key, final long incarnation) {
    if (incarnation != self.incarnation().value()) {
      answerResume(channel, key, ResumeState.LOST);
      return;
    }
    deferred.removeIf(each -> key(each.dispatch()).equals(key));
    bury(key, cancelled(key, "resumed before it came"));
    answerResume(channel, key, ResumeState.NEVER_SEEN);
  }

  private void answerResume(
      final PeerChannel channel, final AttemptKey key, final ResumeState state) {
    channel.send(SidecarMessages.resumeResult(key, self.incarnation().value(), state));
  }

  private void attach(final SidecarRun run, final PeerChannel channel, final int nextSequence) {
    if (run.state() == RunState.REFUSED) {
      channel.send(Envelope.newBuilder().setRefusal(run.refusal()));
      return;
    }
    run.channel(channel);
    run.buffer().subscribe(new ChannelSubscriber(run.key(), channel, this::report), nextSequence);
  }

  /** Starts queued attempts while slots are free. */
  private void pump() {
    Optional<WorkItem> next = gate.startNext(clock.nowMs());
    while (next.isPresent()) {
      final SidecarRun run = runs.get(next.get().key());
      run.start();
      record(EventKind.ATTEMPT_STARTED, run.key(), "");
      executor.execute(run, new CoreRunListener());
      next = gate.startNext(clock.nowMs());
    }
  }

  /** Does what is due: reports, refuses what waited too long, stops what nobody follows. */
  public synchronized void tick() {
    final long nowMs = clock.nowMs();
    report();
    dispatchDeferred();
    for (final WorkItem item : gate.expire(nowMs)) {
      refuseAccepted(runs.get(item.key()), RefusalKind.DEADLINE_UNREACHABLE, "it waited too long");
    }
    for (final SidecarRun run : List.copyOf(runs.values())) {
      if (run.isSettled() && nowMs - run.settledAtMs() > RETENTION_MS) {
        runs.remove(run.key());
      } else if (!run.isSettled() && nowMs >= run.cancelAtMs()) {
        stop(run);
      }
    }
    pump();
  }

  /** Stops an attempt that nobody follows; one that must not repeat runs on once started. */
  private void stop(final SidecarRun run) {
    if (gate.cancelQueued(run.key())) {
      run.refuse(cancelled(run.key(), "nobody follows it"), clock.nowMs());
    } else if (run.dispatch().getRepeatable()) {
      run.abort();
    }
  }

  private void refuseAccepted(final SidecarRun run, final RefusalKind kind, final String detail) {
    final Refusal refusal = SidecarMessages.refusal(run.key(), kind, 0, null, detail, report());
    run.refuse(refusal, clock.nowMs());
    record(EventKind.ATTEMPT_REFUSED, run.key(), kind.name());
    run.channel().send(Envelope.newBuilder().setRefusal(refusal));
  }

  @Override
  public void close() {
    executor.close();
  }

  /**
   * Holds an attempt that waits for a configuration.
   *
   * @param channel the connection to its router
   * @param configNumber the number that it waits for
   * @param dispatch the attempt
   * @param refuseAtMs when it is refused, in milliseconds
   */
  private record DeferredDispatch(
      PeerChannel channel, long configNumber, Dispatch dispatch, long refuseAtMs) {}

  /** Takes note of how runs go. */
  private final class CoreRunListener implements RunListener {

    @Override
    public void token(final double intervalMs) {
      synchronized (SidecarCore.this) {
        gate.token(intervalMs, clock.nowMs());
      }
    }

    @Override
    public void ended(final SidecarRun run, final AttemptEnd end) {
      synchronized (SidecarCore.this) {
        run.end(clock.nowMs());
        gate.finish(run.key(), cachedTokens(end), clock.nowMs());
        record(EventKind.ATTEMPT_ENDED, run.key(), end.getClass().getSimpleName());
        pump();
      }
      run.buffer().end(end);
    }

    private int cachedTokens(final AttemptEnd end) {
      return end instanceof AttemptEnd.Ran ran
          ? ran.summary().promptTokens() + ran.summary().outputTokens()
          : 0;
    }

    @Override
    public void notRun(final SidecarRun run, final RefusalKind kind, final String detail) {
      synchronized (SidecarCore.this) {
        gate.finish(run.key(), 0, clock.nowMs());
        refuseAccepted(run, kind, detail);
        pump();
      }
    }
  }
}
