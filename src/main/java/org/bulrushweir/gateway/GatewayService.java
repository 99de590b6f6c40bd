package org.bulrushweir.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.Clock;
import org.bulrushweir.balancing.EndpointFilter;
import org.bulrushweir.balancing.EndpointSelector;
import org.bulrushweir.balancing.EndpointTracker;
import org.bulrushweir.balancing.RetryBudget;
import org.bulrushweir.catalog.ActivePlan;
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.catalog.EvacuatedZones;
import org.bulrushweir.catalog.ServicePlan;
import org.bulrushweir.dispatch.DispatchPolicy;
import org.bulrushweir.kernel.KernelService;
import org.bulrushweir.kernel.PeriodicTask;
import org.bulrushweir.kernel.StopSignal;
import org.bulrushweir.logging.AsyncLogWriter;
import org.bulrushweir.platform.EngineCacheClient;
import org.bulrushweir.quarantine.PromptQuarantine;
import org.bulrushweir.relay.DrainPolicy;
import org.bulrushweir.settings.GatewaySettings;
import org.bulrushweir.settings.SocketAddressSettings;
import org.bulrushweir.store.ChangeFeed;
import org.bulrushweir.store.SharedTable;
import org.bulrushweir.wire.DatagramTransport;

/**
 * Runs a gateway: its servers, the tables that it follows in the store, and the reports to its
 * peers.
 */
public final class GatewayService implements KernelService {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * The time between two regular reports to peers, in milliseconds: several reports within the
   * duration of a typical request.
   */
  private static final long REPORT_INTERVAL_MS = 200;

  /** The time between two sweeps of idle connections, in milliseconds. */
  private static final long SWEEP_INTERVAL_MS = 1_000;

  /**
   * The time without new connections that must pass before the process may exit, in milliseconds.
   */
  private static final long QUIET_PERIOD_MS = 400;

  private static final Set<SharedTable> FOLLOWED_TABLES =
      Set.of(SharedTable.CONFIGURATION, SharedTable.ENDPOINTS);

  /** The interval at which a draining process checks whether it is done, in milliseconds. */
  private static final long DRAIN_CHECK_INTERVAL_MS = 50;

  /** The shortest time between two log lines on a full quarantine, in seconds. */
  private static final int FULL_LOG_INTERVAL_S = 10;

  /** The time allowed to the last responses before the process exits, in milliseconds. */
  private static final long LAST_RESPONSES_MS = 100;

  /**
   * The interval at which a process checks whether its last responses are sent, in milliseconds.
   */
  private static final long LAST_RESPONSES_INTERVAL_MS = 5;

  private final GatewaySettings settings;
  private final Clock clock;
  private final StopSignal stopSignal;
  private final CallersSocketService socket;
  private final EventLoopService loops;
  private final GatewayMetrics metrics;
  private final GatewayCore core;
  private final DrainPolicy drainPolicy;
  private final PromptQuarantine quarantine = new PromptQuarantine();
  private final PeerMesh mesh;
  private final EndpointListener endpointListener;
  private final RequestExplainer explainer;
  private final EvacuationMonitor evacuation;
  private final ColdStartMonitor coldStart;
  private final ConnectionPool pool;
  private final List<TableFollower> followers;
  private int callersPort;
  private int statusPort;
  private int metricsPort;

  /**
   * Creates a gateway.
   *
   * @param settings the gateway's settings
   * @param clock the process's clock
   * @param stopSignal tells when the process was told to stop
   * @param socket the listening socket for callers
   * @param loops the event loop
   * @param feed the store's change feed
   * @param caches queries engines for their cached prompt segments
   * @param metrics the gateway's metrics
   * @param log writes the request log
   */
  public GatewayService(
      final GatewaySettings settings,
      final Clock clock,
      final StopSignal stopSignal,
      final CallersSocketService socket,
      final EventLoopService loops,
      final ChangeFeed feed,
      final EngineCacheClient caches,
      final GatewayMetrics metrics,
      final AsyncLogWriter log) {
    this.settings = settings;
    this.clock = clock;
    this.stopSignal = stopSignal;
    this.socket = socket;
    this.loops = loops;
    this.metrics = metrics;
    final EventLoop loop = loops.loop();
    final ActivePlan activePlan = new ActivePlan();
    final EndpointDirectory directory = new EndpointDirectory();
    final EvacuatedZones zones = new EvacuatedZones(settings.evacuationMs().orElse(0));
    this.coldStart = new ColdStartMonitor(settings.node(), settings.cold(), activePlan, clock);
    final EndpointTracker tracker =
        tracker(settings, activePlan, directory, coldStart.budget().and(zones::accepts));
    this.evacuation = new EvacuationMonitor(zones, directory, tracker, clock);
    final StartGate gate = new StartGate(FOLLOWED_TABLES);
    if (!settings.firstStart()) {
      gate.whenTablesRead(
          new EngineCacheReader(caches, activePlan, directory, tracker, loop, clock)::queryAll);
    }
    this.drainPolicy = new DrainPolicy(settings.graceMs());
    final RetryBudget retryBudget = new RetryBudget(settings.retryBudget());
    final RequestLog requestLog = new RequestLog(settings.node(), clock, activePlan, metrics, log);
    this.pool = new ConnectionPool(loops.group(), clock, requestLog::recordUnexpectedBytes);
    final FollowerFactory tables =
        new FollowerFactory(feed, settings.sharedReading(), metrics, loop, clock);
    final DispatchGate dispatch = dispatchGate(tracker);
    this.mesh =
        new PeerMesh(
            settings.node(),
            settings.peers(),
            clock,
            tracker,
            activePlan,
            retryBudget,
            quarantine,
            loop,
            reportSections(zones, tables, dispatch));
    final AttemptPlanner planner = planner(directory, tracker, retryBudget);
    this.core =
        new GatewayCore(
            clock,
            loop,
            activePlan,
            planner,
            pool,
            new CrashDetector(pool, quarantine, clock),
            new RequestAdmission(clock, activePlan, planner, drainPolicy),
            gate,
            loops.polls(),
            dispatch,
            requestLog);
    final PeerRegistration registration =
        new PeerRegistration(settings.node(), tables.feed(), mesh, loop);
    gate.whenTablesRead(registration::start);
    this.endpointListener = new EndpointListener(directory, clock, coldStart);
    this.followers = followers(tables, registration, gate, planListener(activePlan, zones));
    this.explainer = explainer(activePlan, directory, planner, zones, dispatch);
    addGauges(activePlan, tracker, log);
  }

  private List<ReportSection> reportSections(
      final EvacuatedZones zones, final FollowerFactory tables, final DispatchGate dispatch) {
    final List<ReportSection> sections =
        new ArrayList<>(
            List.of(tables.section(), coldStart, new DemandSection(dispatch.services())));
    if (settings.evacuationMs().isPresent()) {
      sections.add(new EvacuationReportSection(zones, evacuation));
    }
    return sections;
  }

  private TableListener planListener(final ActivePlan activePlan, final EvacuatedZones zones) {
    final PlanListener plans = new PlanListener(activePlan, clock);
    return settings.evacuationMs().isPresent()
        ? new CombinedTableListener(new EvacuationListener(zones, evacuation, clock), plans)
        : plans;
  }

  private List<TableFollower> followers(
      final FollowerFactory tables,
      final PeerRegistration registration,
      final StartGate gate,
      final TableListener plans) {
    return List.of(
        tables.follow(
            SharedTable.CONFIGURATION,
            registration.wrap(gate.wrap(SharedTable.CONFIGURATION, plans)),
            mesh::reportSoon),
        tables.follow(
            SharedTable.ENDPOINTS,
            gate.wrap(SharedTable.ENDPOINTS, endpointListener),
            mesh::reportSoon));
  }

  private DispatchGate dispatchGate(final EndpointTracker tracker) {
    final DispatchGate dispatch =
        new DispatchGate(
            settings.dispatch(),
            new DispatchPolicy(settings.dispatch(), () -> ThreadLocalRandom.current().nextDouble()),
            clock,
            loops.loop(),
            tracker,
            metrics.queue());
    metrics.gauge(
        "bulrushweir_gateway_queued_requests",
        "Requests that wait for room at their service.",
        dispatch::waiting);
    return dispatch;
  }

  private AttemptPlanner planner(
      final EndpointDirectory directory,
      final EndpointTracker tracker,
      final RetryBudget retryBudget) {
    return new AttemptPlanner(
        directory,
        tracker,
        new EndpointSelector(tracker, settings.zone(), settings.selector()),
        retryBudget,
        mesh,
        quarantine,
        coldStart.budget());
  }

  private RequestExplainer explainer(
      final ActivePlan activePlan,
      final EndpointDirectory directory,
      final AttemptPlanner planner,
      final EvacuatedZones zones,
      final DispatchGate dispatch) {
    return new RequestExplainer(
        clock,
        activePlan,
        core,
        dispatch,
        new EndpointExplainer(
            directory, planner, zones, coldStart.budget(), endpointListener::ageMs));
  }

  private static EndpointTracker tracker(
      final GatewaySettings settings,
      final ActivePlan activePlan,
      final EndpointDirectory directory,
      final EndpointFilter filter) {
    return new EndpointTracker(
        directory,
        service ->
            activePlan
                .current()
                .flatMap(plan -> plan.service(service))
                .map(ServicePlan::kvCapacityTokens)
                .orElse(0L),
        settings.selector().prefillTokensPerMs(),
        filter);
  }

  private void addGauges(
      final ActivePlan activePlan, final EndpointTracker tracker, final AsyncLogWriter log) {
    evacuation.addGauges(metrics);
    coldStart.addMetrics(metrics);
    metrics.gauge(
        "bulrushweir_gateway_endpoints_held_off",
        "Endpoints that asked for no requests for a while.",
        () -> (double) tracker.heldOffCount(clock.nowMs()));
    metrics.gauge(
        "bulrushweir_gateway_endpoints_slow",
        "Endpoints that work slowly according to what they state or to the times of their calls.",
        () -> (double) tracker.observations().slowCount(clock.nowMs()));
    metrics.gauge(
        "bulrushweir_gateway_plan_version",
        "The version of the plan in force.",
        () -> activePlan.current().map(plan -> (double) plan.version()).orElse(0.0));
    metrics.gauge(
        "bulrushweir_gateway_quarantined_segments",
        "Prompt segments that are kept away from engines because engines crash under them.",
        quarantine::size);
    metrics.gauge(
        "bulrushweir_gateway_log_lines_dropped", "Log lines that were dropped.", log::dropped);
    metrics.gauge(
        "bulrushweir_gateway_endpoints_without_reuse",
        "Endpoints whose connections are not reused, as they sent bytes that belong to no request.",
        pool::withoutReuse);
    metrics.gauge(
        "bulrushweir_gateway_connections_opened", "Connections opened to endpoints.", pool::opened);
  }

  /**
   * Returns the port for callers.
   *
   * @return the bound port, zero before the start
   */
  public int callersPort() {
    return callersPort;
  }

  /**
   * Returns the port that the load balancer queries for readiness.
   *
   * @return the bound port, zero before the start
   */
  public int statusPort() {
    return statusPort;
  }

  /**
   * Returns the port that serves metrics and explanations.
   *
   * @return the bound port, zero before the start
   */
  public int metricsPort() {
    return metricsPort;
  }

  @Override
  public void start() {
    final GatewayServers servers = new GatewayServers(loops.group(), core, metrics, clock);
    callersPort = servers.acceptCallers(socket);
    statusPort = servers.bindStatus(settings.readiness(), Optional.empty());
    metricsPort = servers.bindStatus(settings.metrics(), Optional.of(explainer));
    final SocketAddressSettings peers = settings.peers();
    mesh.socketBound(
        DatagramTransport.bind(loops.group(), peers.host(), peers.port(), mesh::receive));
    followers.forEach(TableFollower::start);
    final EventLoop loop = loops.loop();
    loop.scheduleWithFixedDelay(
        new PeriodicTask("report to peers", this::expireAndReport),
        REPORT_INTERVAL_MS,
        REPORT_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
    loop.scheduleWithFixedDelay(
        new PeriodicTask("close idle connections", pool::closeExpired),
        SWEEP_INTERVAL_MS,
        SWEEP_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
    logger.atInfo().log(
        "started in zone %s: callers %s, readiness %s, peers %s, platform %s",
        settings.zone(),
        settings.callers(),
        settings.readiness(),
        settings.peers(),
        settings.platform());
  }

  private void expireAndReport() {
    endpointListener.expire();
    evacuation.expire();
    updateQuarantine();
    coldStart.update(mesh.registered());
    mesh.sendReport(false);
  }

  private void updateQuarantine() {
    for (final long segment : quarantine.update(clock.nowMs())) {
      logger.atWarning().log(
          "engines crash under prompt segment %s; requests with it are refused",
          Long.toHexString(segment));
    }
    if (!quarantine.withoutRoom().isEmpty()) {
      logger.atWarning().atMostEvery(FULL_LOG_INTERVAL_S, TimeUnit.SECONDS).log(
          "engines crash under prompt segments %s, but the quarantine of %d segments has no room;"
              + " requests with them are served",
          quarantine.withoutRoom().stream().map(Long::toHexString).toList(), quarantine.size());
    }
    if (quarantine.size() > 0) {
      core.cancelQuarantined();
    }
  }

  /**
   * Drains the gateway: reports not ready, completes the requests in flight, and returns when their
   * callers have received all responses or when the grace period is about to end. The grace period
   * runs from the stop signal.
   */
  @Override
  public void stop() {
    final long signalMs = stopSignal.sinceMs(clock.nowMs());
    final long exitByMs = signalMs + drainPolicy.exitAfterMs();
    loops.loop().submit(() -> core.startDraining(signalMs)).syncUninterruptibly();
    logger.atInfo().log("draining; %d requests in flight", core.inFlight());
    boolean drained = false;
    while (!drained && clock.nowMs() < exitByMs) {
      if (!sleep(DRAIN_CHECK_INTERVAL_MS)) {
        return;
      }
      final long submittedMs = clock.nowMs();
      drained =
          loops
              .loop()
              .submit(() -> exitIfDrained(signalMs, submittedMs))
              .syncUninterruptibly()
              .getNow();
    }
    loops.loop().submit(core::startExit).syncUninterruptibly();
    awaitLastResponses();
    followers.forEach(TableFollower::stop);
    loops
        .loop()
        .submit(
            () -> {
              core.recordCutOff();
              mesh.sendReport(true);
            })
        .syncUninterruptibly();
    logger.atInfo().log(
        "stopped after %d ms; %d requests cut off", clock.nowMs() - signalMs, core.inFlight());
  }

  private void awaitLastResponses() {
    final long endMs = clock.nowMs() + LAST_RESPONSES_MS;
    boolean waiting = true;
    while (waiting && clock.nowMs() < endMs && sleep(LAST_RESPONSES_INTERVAL_MS)) {
      waiting = loops.loop().submit(core::awaitsAnswers).syncUninterruptibly().getNow();
    }
  }

  /** Sleeps; returns false if the thread is interrupted. */
  private static boolean sleep(final long ms) {
    try {
      Thread.sleep(ms);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /**
   * Stops accepting requests if no caller sends a request or still receives a response; returns
   * whether that is so. An event loop that was held up has not read yet what callers have sent
   * meanwhile: their connections only look idle.
   */
  private boolean exitIfDrained(final long signalMs, final long submittedMs) {
    final long nowMs = clock.nowMs();
    if (nowMs - signalMs < DrainPolicy.BALANCER_NOTICE_MS
        || nowMs - submittedMs > DRAIN_CHECK_INTERVAL_MS) {
      return false;
    }
    core.closeIdleConnections();
    if (core.hasConnections() || nowMs - core.lastConnectionOpenedMs() <= QUIET_PERIOD_MS) {
      return false;
    }
    core.startExit();
    return true;
  }
}
