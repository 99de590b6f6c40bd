package org.bulrushweir.sidecar;

import com.google.common.flogger.FluentLogger;
import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import okhttp3.Call;
import org.bulrushweir.admission.AdmissionController;
import org.bulrushweir.admission.AdmissionDecision;
import org.bulrushweir.admission.AdmissionSettings;
import org.bulrushweir.admission.AttemptKey;
import org.bulrushweir.admission.OrganisationShare;
import org.bulrushweir.admission.WorkItem;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.Identifiers;
import org.bulrushweir.api.Incarnation;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.api.RequestId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.configuration.AcceptedConfig;
import org.bulrushweir.declaration.ServiceDeclaration;
import org.bulrushweir.declaration.WorkClass;
import org.bulrushweir.delivery.AnswerPart;
import org.bulrushweir.delivery.AnswerSummary;
import org.bulrushweir.delivery.AttemptEnd;
import org.bulrushweir.delivery.RefusalKind;
import org.bulrushweir.engine.EngineClient;
import org.bulrushweir.engine.EngineProtocol;
import org.bulrushweir.engine.EngineResult;
import org.bulrushweir.load.LoadReport;
import org.bulrushweir.load.PoolLoads;
import org.bulrushweir.node.DirectoryService;
import org.bulrushweir.platform.PlatformStore;
import org.bulrushweir.platform.Vm;
import org.bulrushweir.runonce.ClaimMachine;
import org.bulrushweir.runonce.ClaimOutcome;
import org.bulrushweir.runonce.ClaimRow;
import org.bulrushweir.runonce.ClaimState;
import org.bulrushweir.wire.PeerChannel;
import org.bulrushweir.wire.PeerIdentity;
import org.bulrushweir.wire.PeerListener;
import org.bulrushweir.wire.generated.Accepted;
import org.bulrushweir.wire.generated.Cancel;
import org.bulrushweir.wire.generated.CancelResult;
import org.bulrushweir.wire.generated.Dispatch;
import org.bulrushweir.wire.generated.DrainResult;
import org.bulrushweir.wire.generated.Envelope;
import org.bulrushweir.wire.generated.Kind;
import org.bulrushweir.wire.generated.LoadHint;
import org.bulrushweir.wire.generated.Refusal;
import org.bulrushweir.wire.generated.Resume;
import org.bulrushweir.wire.generated.ResumeResult;
import org.bulrushweir.wire.generated.ResumeState;

/** Accepts, queues, runs, resumes and cancels the attempts that routers send to one endpoint. */
public final class SidecarCore implements PeerListener, AutoCloseable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long RETENTION_MS = 60_000;
  private static final long CONFIG_WAIT_MS = 500;
  private static final long ORPHAN_GRACE_MS = 10_000;
  private static final AdmissionSettings INITIAL = new AdmissionSettings(1, 0, 1, Map.of());

  private final Map<AttemptKey, SidecarRun> runs = new HashMap<>();
  private final List<DeferredDispatch> deferred = new ArrayList<>();
  private final PoolLoads loads = new PoolLoads();
  private final AdmissionController admission = new AdmissionController(INITIAL);
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final PeerIdentity self;
  private final EndpointId endpoint;
  private final ServiceName serviceName;
  private final Clock clock;
  private final EngineClient engine;
  private final PlatformStore platform;
  private final DirectoryService directory;
  private AcceptedConfig config;
  private long loadVersion;

  /**
   * Creates the core of a sidecar.
   *
   * @param self who this process is
   * @param serviceName the service that the endpoint belongs to
   * @param clock the clock
   * @param engine calls the endpoint
   * @param platform the platform's store
   * @param directory the list of endpoints
   */
  public SidecarCore(
      final PeerIdentity self,
      final ServiceName serviceName,
      final Clock clock,
      final EngineClient engine,
      final PlatformStore platform,
      final DirectoryService directory) {
    this.self = self;
    this.endpoint = new EndpointId(self.node().value());
    this.serviceName = serviceName;
    this.clock = clock;
    this.engine = engine;
    this.platform = platform;
    this.directory = directory;
  }

  /**
   * Puts a configuration in force.
   *
   * @param newConfig the configuration
   */
  public synchronized void reconfigure(final AcceptedConfig newConfig) {
    config = newConfig;
    final ServiceDeclaration service = newConfig.declaration().services().get(serviceName);
    if (service == null) {
      return;
    }
    final Map<OrganisationId, OrganisationShare> shares = new HashMap<>();
    newConfig
        .declaration()
        .organisations()
        .forEach(
            (id, organisation) ->
                shares.put(
                    id, new OrganisationShare(organisation.weight(), organisation.maximumShare())));
    admission.reconfigure(
        new AdmissionSettings(
            service.slots(), service.reservedSlots(), service.loadMultiple(), shares));
    dispatchDeferred();
    pump();
  }

  /** Refuses all new work from now on. */
  public synchronized void leave() {
    admission.leave();
  }

  /**
   * Counts the attempts that are queued or running.
   *
   * @return the number of attempts
   */
  public synchronized int inFlight() {
    return admission.inFlight();
  }

  /**
   * Returns the work that the endpoint carries.
   *
   * @return the load in work units
   */
  public synchronized long load() {
    return admission.load();
  }

  @Override
  public void received(final PeerChannel channel, final Envelope envelope) {
    switch (envelope.getBodyCase()) {
      case DISPATCH ->
          dispatchWhenReady(channel, envelope.getConfigNumber(), envelope.getDispatch());
      case CANCEL -> cancel(channel, envelope.getCancel());
      case RESUME -> resume(channel, envelope.getResume());
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

  /** Dispatches what has waited for the configuration, or has waited too long. */
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
            new AttemptKey(
                new RequestId(each.dispatch().getRequest()), each.dispatch().getAttempt()),
            RefusalKind.NOT_READY,
            0,
            "the endpoint does not have configuration " + each.configNumber() + " yet");
      }
    }
  }

  private void dispatch(final PeerChannel channel, final Dispatch dispatch) {
    final AttemptKey key =
        new AttemptKey(new RequestId(dispatch.getRequest()), dispatch.getAttempt());
    dispatch.getLoadsList().forEach(this::learn);
    final SidecarRun known = runs.get(key);
    if (known != null) {
      attach(known, channel, 0);
      return;
    }
    if (dispatch.getIncarnation() != 0 && dispatch.getIncarnation() != self.incarnation().value()) {
      refuse(channel, key, RefusalKind.WRONG_INCARNATION, 0, "the sidecar was restarted");
      return;
    }
    final Optional<String> fault = fault(dispatch);
    if (fault.isPresent()) {
      refuse(channel, key, RefusalKind.BAD_REQUEST, 0, fault.get());
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
    final long nowMs = clock.nowMs();
    final WorkClass workClass = config.declaration().classes().get(dispatch.getWorkClass());
    final long startWithinMs =
        dispatch.getFirstTokenMs() == 0 ? dispatch.getDeadlineMs() : dispatch.getFirstTokenMs();
    final WorkItem item =
        new WorkItem(
            key,
            new OrganisationId(dispatch.getOrganisation()),
            workClass,
            WorkEstimator.estimate(dispatch),
            nowMs,
            nowMs + startWithinMs);
    switch (admission.offer(item, meanLoad(nowMs))) {
      case AdmissionDecision.Refused refused ->
          refuse(channel, key, refused.kind(), refused.retryAfterMs(), "the endpoint is busy");
      case AdmissionDecision.Admitted admitted -> {
        final SidecarRun run = new SidecarRun(dispatch, key, item, channel);
        runs.put(key, run);
        channel.send(
            Envelope.newBuilder()
                .setAccepted(
                    Accepted.newBuilder()
                        .setRequest(key.request().value())
                        .setAttempt(key.attempt())
                        .setIncarnation(self.incarnation().value())
                        .setLoad(loadHint())));
        run.buffer().subscribe(new ChannelSubscriber(key, channel, this::loadHint), 0);
        pump();
      }
    }
  }

  private double meanLoad(final long nowMs) {
    final Set<EndpointId> members = new HashSet<>();
    for (final Vm vm : directory.endpointsOf(serviceName)) {
      members.add(new EndpointId(vm.name()));
    }
    return loads.meanSeenBy(endpoint, admission.load(), members, nowMs);
  }

  private void learn(final LoadHint hint) {
    if (!Identifiers.isValid(hint.getEndpoint())) {
      return;
    }
    loads.update(
        new LoadReport(
            new EndpointId(hint.getEndpoint()),
            new Incarnation(hint.getIncarnation()),
            hint.getVersion(),
            hint.getLoad(),
            clock.nowMs() - hint.getAgeMs()));
  }

  private synchronized LoadHint loadHint() {
    loadVersion++;
    return LoadHint.newBuilder()
        .setEndpoint(endpoint.value())
        .setIncarnation(self.incarnation().value())
        .setVersion(loadVersion)
        .setLoad((int) admission.load())
        .build();
  }

  private void refuse(
      final PeerChannel channel,
      final AttemptKey key,
      final RefusalKind kind,
      final long retryAfterMs,
      final String detail) {
    final Refusal refusal = refusal(key, kind, retryAfterMs, detail);
    final SidecarRun tombstone = new SidecarRun(null, key, null, null);
    tombstone.refuse(refusal, clock.nowMs());
    runs.put(key, tombstone);
    channel.send(Envelope.newBuilder().setRefusal(refusal));
  }

  private Refusal refusal(
      final AttemptKey key, final RefusalKind kind, final long retryAfterMs, final String detail) {
    return Refusal.newBuilder()
        .setRequest(key.request().value())
        .setAttempt(key.attempt())
        .setReason(Refusals.toWire(kind))
        .setRetryAfterMs((int) retryAfterMs)
        .setLoad(loadHint())
        .setDetail(detail)
        .build();
  }

  private synchronized void cancel(final PeerChannel channel, final Cancel cancel) {
    final AttemptKey key = new AttemptKey(new RequestId(cancel.getRequest()), cancel.getAttempt());
    final SidecarRun run = runs.get(key);
    if (run == null) {
      final SidecarRun tombstone = new SidecarRun(null, key, null, null);
      tombstone.refuse(refusal(key, RefusalKind.CANCELLED, 0, "cancelled"), clock.nowMs());
      runs.put(key, tombstone);
      answerCancel(channel, key, true);
      return;
    }
    if (run.state() == RunState.QUEUED) {
      admission.cancelQueued(key);
      run.refuse(refusal(key, RefusalKind.CANCELLED, 0, "cancelled"), clock.nowMs());
    }
    if (run.state() == RunState.RUNNING && run.dispatch().getRepeatable()) {
      run.cancelAt(clock.nowMs() + cancel.getGraceMs());
    }
    answerCancel(channel, key, run.state() == RunState.REFUSED);
  }

  private void answerCancel(
      final PeerChannel channel, final AttemptKey key, final boolean notStarted) {
    channel.send(
        Envelope.newBuilder()
            .setCancelResult(
                CancelResult.newBuilder()
                    .setRequest(key.request().value())
                    .setAttempt(key.attempt())
                    .setIncarnation(self.incarnation().value())
                    .setNotStarted(notStarted)));
  }

  private synchronized void resume(final PeerChannel channel, final Resume resume) {
    final AttemptKey key = new AttemptKey(new RequestId(resume.getRequest()), resume.getAttempt());
    final SidecarRun run = runs.get(key);
    if (run != null
        && run.dispatch() != null
        && !run.dispatch().getOrganisation().equals(resume.getOrganisation())) {
      answerResume(channel, key, ResumeState.LOST);
      return;
    }
    if (run != null) {
      answerResume(channel, key, ResumeState.RESUMED);
      attach(run, channel, resume.getNextSequence());
      return;
    }
    if (resume.getIncarnation() != self.incarnation().value()) {
      answerResume(channel, key, ResumeState.LOST);
      return;
    }
    final SidecarRun tombstone = new SidecarRun(null, key, null, null);
    tombstone.refuse(refusal(key, RefusalKind.CANCELLED, 0, "never seen"), clock.nowMs());
    runs.put(key, tombstone);
    answerResume(channel, key, ResumeState.NEVER_SEEN);
  }

  private void answerResume(
      final PeerChannel channel, final AttemptKey key, final ResumeState state) {
    channel.send(
        Envelope.newBuilder()
            .setResumeResult(
                ResumeResult.newBuilder()
                    .setRequest(key.request().value())
                    .setAttempt(key.attempt())
                    .setIncarnation(self.incarnation().value())
                    .setState(state)));
  }

  private void attach(final SidecarRun run, final PeerChannel channel, final int nextSequence) {
    if (run.state() == RunState.REFUSED) {
      channel.send(Envelope.newBuilder().setRefusal(run.refusal()));
      return;
    }
    run.channel(channel);
    run.buffer().subscribe(new ChannelSubscriber(run.key(), channel, this::loadHint), nextSequence);
  }

  /** Starts queued attempts while slots are free. */
  private void pump() {
    Optional<WorkItem> next = admission.startNext(clock.nowMs());
    while (next.isPresent()) {
      final SidecarRun run = runs.get(next.get().key());
      run.run();
      executor.execute(() -> execute(run));
      next = admission.startNext(clock.nowMs());
    }
  }

  private void execute(final SidecarRun run) {
    try {
      if (run.dispatch().getKind() == Kind.CHAT) {
        executeChat(run);
      } else if (run.dispatch().getIdempotencyKey().isEmpty()) {
        executeCall(run);
      } else {
        claimedCall(run).run();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      end(run, new AttemptEnd.Unknown("the sidecar was stopped"));
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("attempt %s failed", run.key());
      end(run, new AttemptEnd.Unknown("the sidecar failed: " + e.getMessage()));
    }
  }

  private void executeChat(final SidecarRun run) {
    final EngineProtocol.ChatRequest request;
    try {
      request = ChatRequests.forEngine(run.dispatch(), run.item().workClass().priority());
    } catch (IllegalArgumentException e) {
      refuseRunning(run, RefusalKind.BAD_REQUEST, e.getMessage());
      return;
    }
    final Call call = engine.chatCall(request);
    setCall(run, call);
    final EngineResult result =
        engine.chat(
            call, text -> run.buffer().append(new AnswerPart(ByteString.copyFromUtf8(text), 1)));
    switch (result) {
      case EngineResult.Generated generated ->
          end(run, new AttemptEnd.Ran(run.buffer().size(), summary(generated)));
      case EngineResult.Refused refused ->
          refuseRunning(
              run,
              refused.modelMissing() ? RefusalKind.MODEL_NOT_LOADED : RefusalKind.ENDPOINT_DOWN,
              refused.detail());
      case EngineResult.Broken broken ->
          end(run, new AttemptEnd.Broken(run.buffer().size(), broken.detail()));
      case EngineResult.Answered answered ->
          throw new IllegalStateException("an engine does not answer like a service");
    }
  }

  private static AnswerSummary summary(final EngineResult.Generated generated) {
    final EngineProtocol.Usage usage = generated.usage();
    final EngineProtocol.PromptTokensDetails details = usage.promptTokensDetails();
    return new AnswerSummary(
        200,
        "",
        usage.promptTokens(),
        details == null ? 0 : details.cachedTokens(),
        usage.completionTokens(),
        generated.finishReason(),
        false);
  }

  private EngineResult callService(final SidecarRun run) {
    final Dispatch dispatch = run.dispatch();
    final Call call =
        engine.serviceCall(
            dispatch.getMethod(),
            dispatch.getPath(),
            dispatch.getContentType(),
            dispatch.getBody().toByteArray());
    setCall(run, call);
    return engine.serve(call);
  }

  private void executeCall(final SidecarRun run) {
    switch (callService(run)) {
      case EngineResult.Answered answered ->
          endCall(
              run,
              new ClaimOutcome(answered.httpStatus(), answered.contentType(), answered.body()),
              false);
      case EngineResult.Refused refused ->
          refuseRunning(run, RefusalKind.ENDPOINT_DOWN, refused.detail());
      case EngineResult.Broken broken -> end(run, new AttemptEnd.Unknown(broken.detail()));
      case EngineResult.Generated generated ->
          throw new IllegalStateException("a plain service does not generate tokens");
    }
  }

  private ClaimedCall claimedCall(final SidecarRun run) {
    final Dispatch dispatch = run.dispatch();
    final String digest =
        Hashing.sha256()
            .newHasher()
            .putString(dispatch.getMethod() + ' ' + dispatch.getPath(), StandardCharsets.UTF_8)
            .putBytes(dispatch.getBody().toByteArray())
            .hash()
            .toString();
    final String key =
        Hashing.sha256()
            .hashString(serviceName + "\n" + dispatch.getIdempotencyKey(), StandardCharsets.UTF_8)
            .toString();
    final ClaimRow row =
        new ClaimRow(
            UUID.randomUUID().toString(),
            digest,
            endpoint.value(),
            self.incarnation().value(),
            ClaimState.CLAIMED,
            null);
    final ClaimMachine machine = new ClaimMachine(row, run.item().startByMs());
    final ClaimStore store =
        new ClaimStore(platform, "claims/" + dispatch.getOrganisation() + "/" + key);
    return new ClaimedCall(machine, store, clock, () -> callService(run), new RunListener(run));
  }

  private void endCall(final SidecarRun run, final ClaimOutcome outcome, final boolean replayed) {
    run.buffer().append(new AnswerPart(ByteString.copyFrom(outcome.body()), 0));
    end(
        run,
        new AttemptEnd.Ran(
            1,
            new AnswerSummary(outcome.httpStatus(), outcome.contentType(), 0, 0, 0, "", replayed)));
  }

  private synchronized void setCall(final SidecarRun run, final Call call) {
    run.call(call);
  }

  private void end(final SidecarRun run, final AttemptEnd end) {
    synchronized (this) {
      run.end(clock.nowMs());
      admission.finish(run.key(), clock.nowMs());
      pump();
    }
    run.buffer().end(end);
  }

  private synchronized void refuseRunning(
      final SidecarRun run, final RefusalKind kind, final String detail) {
    final Refusal refusal = refusal(run.key(), kind, 0, detail);
    run.refuse(refusal, clock.nowMs());
    admission.finish(run.key(), clock.nowMs());
    run.channel().send(Envelope.newBuilder().setRefusal(refusal));
    pump();
  }

  /** Does what is due: refuses what waited too long, stops what nobody follows, forgets. */
  public synchronized void tick() {
    dispatchDeferred();
    final long nowMs = clock.nowMs();
    for (final WorkItem item : admission.expire(nowMs)) {
      final SidecarRun run = runs.get(item.key());
      final Refusal refusal =
          refusal(item.key(), RefusalKind.DEADLINE_UNREACHABLE, 0, "waited too long");
      run.refuse(refusal, nowMs);
      run.channel().send(Envelope.newBuilder().setRefusal(refusal));
    }
    final List<SidecarRun> all = new ArrayList<>(runs.values());
    for (final SidecarRun run : all) {
      if (run.isSettled()) {
        if (nowMs - run.settledAtMs() > RETENTION_MS) {
          runs.remove(run.key());
        }
      } else if (nowMs >= run.cancelAtMs() && run.dispatch().getRepeatable()) {
        stop(run);
      }
    }
    pump();
  }

  private void stop(final SidecarRun run) {
    if (admission.cancelQueued(run.key())) {
      run.refuse(refusal(run.key(), RefusalKind.CANCELLED, 0, "nobody follows it"), clock.nowMs());
      return;
    }
    run.abort();
  }

  @Override
  public void close() {
    executor.shutdownNow();
    engine.close();
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

  /** Passes the end of a claimed call on to its run. */
  private final class RunListener implements ClaimedCall.Listener {

    private final SidecarRun run;

    private RunListener(final SidecarRun run) {
      this.run = run;
    }

    @Override
    public void ran(final ClaimOutcome outcome, final boolean replayed) {
      endCall(run, outcome, replayed);
    }

    @Override
    public void notRun(final RefusalKind kind, final String detail) {
      refuseRunning(run, kind, detail);
    }

    @Override
    public void unknown(final String detail) {
      end(run, new AttemptEnd.Unknown(detail));
    }
  }
}
