package org.bulrushweir.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.EnumSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.Clock;
import org.bulrushweir.balancing.EndpointSelector;
import org.bulrushweir.balancing.EndpointTracker;
import org.bulrushweir.balancing.RetryBudget;
import org.bulrushweir.catalog.ActivePlan;
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.catalog.ServicePlan;
import org.bulrushweir.kernel.KernelService;
import org.bulrushweir.logging.AsyncLogWriter;
import org.bulrushweir.platform.EngineCacheClient;
import org.bulrushweir.relay.DrainPolicy;
import org.bulrushweir.settings.GatewaySettings;
import org.bulrushweir.settings.SocketAddressSettings;
import org.bulrushweir.store.ChangeFeed;
import org.bulrushweir.store.SharedTable;
import org.bulrushweir.wire.DatagramTransport;

/** Runs a gateway: its servers, what it follows in the store, and its reports to peers. */
public final class GatewayService implements KernelService {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How often peers get a report, in milliseconds: several within a request's time. */
  private static final long REPORT_INTERVAL_MS = 200;

  /** How often old connections are closed, in milliseconds. */
  private static final long SWEEP_INTERVAL_MS = 1_000;

  /** Within which the balancer notices that this process is not ready, in milliseconds. */
  private static final long BALANCER_NOTICE_MS = 2_600;

  /** For how long no new connection has come before the process may exit, in milliseconds. */
  private static final long QUIET_MS = 400;

  /** How often a stopping process looks whether it is done, in milliseconds. */
  private static final long DRAIN_CHECK_MS = 50;

  private final GatewaySettings settings;
  private final Clock clock;
  private final CallersSocketService socket;
  private final EventLoopService loops;
  private final GatewayMetrics metrics;
  private final GatewayCore core;
  private final DrainPolicy drainPolicy;
  private final PeerMesh mesh;
  private final EndpointListener endpointListener;
  private final ConnectionPool pool;
  private final List<TableFollower> followers;
  private int callersPort;
  private int statusPort;

  /**
   * Creates a gateway.
   *
   * @param settings its settings
   * @param clock the clock
   * @param socket the socket for callers
   * @param loops the thread
   * @param feed the store
   * @param caches asks engines what they hold
   * @param metrics the metrics
   * @param log takes a line for each decision
   */
  public GatewayService(
      final GatewaySettings settings,
      final Clock clock,
      final CallersSocketService socket,
      final EventLoopService loops,
      final ChangeFeed feed,
      final EngineCacheClient caches,
      final GatewayMetrics metrics,
      final AsyncLogWriter log) {
    this.settings = settings;
    this.clock = clock;
    this.socket = socket;
    this.loops = loops;
    this.metrics = metrics;
    final EventLoop loop = loops.loop();
    final ActivePlan activePlan = new ActivePlan();
    final EndpointDirectory directory = new EndpointDirectory();
    final EndpointTracker tracker = board(settings, activePlan, directory);
    final StartGate gate =
        new StartGate(EnumSet.of(SharedTable.CONFIGURATION, SharedTable.ENDPOINTS));
    if (!settings.firstStart()) {
      gate.whenRead(
          new EngineCacheReader(caches, activePlan, directory, tracker, loop, clock)::askAll);
    }
    this.drainPolicy = new DrainPolicy(settings.graceMs());
    final RetryBudget retryBudget = new RetryBudget(settings.retryBudget());
    this.pool = new ConnectionPool(loops.group(), clock);
    this.mesh =
        new PeerMesh(
            settings.node(), settings.peers(), clock, tracker, activePlan, retryBudget, loop);
    this.core =
        new GatewayCore(
            clock,
            loop,
            activePlan,
            new AttemptPlanner(
                directory,
                tracker,
                new EndpointSelector(tracker, settings.zone(), settings.selector()),
                retryBudget,
                mesh),
            pool,
            drainPolicy,
            gate,
            new RequestLog(settings.node(), clock, activePlan, metrics, log));
    gate.whenRead(new PeerRegistration(settings.node(), feed, mesh, loop)::start);
    this.endpointListener = new EndpointListener(directory, clock);
    this.followers =
        List.of(
            new TableFollower(
                feed,
                SharedTable.CONFIGURATION,
                gate.watch(SharedTable.CONFIGURATION, new PlanListener(activePlan, clock)),
                loop,
                clock),
            new TableFollower(
                feed,
                SharedTable.ENDPOINTS,
                gate.watch(SharedTable.ENDPOINTS, endpointListener),
                loop,
                clock));
    addGauges(activePlan, log);
  }

  private static EndpointTracker board(
      final GatewaySettings settings,
      final ActivePlan activePlan,
      final EndpointDirectory directory) {
    return new EndpointTracker(
        directory,
        service ->
            activePlan
                .current()
                .flatMap(plan -> plan.service(service))
                .map(ServicePlan::kvCapacityTokens)
                .orElse(0L),
        settings.selector().prefillTokensPerMs());
  }

  private void addGauges(final ActivePlan activePlan, final AsyncLogWriter log) {
    metrics.gauge(
        "bulrushweir_gateway_plan_version",
        "The version of the plan in force.",
        () -> activePlan.current().map(plan -> (double) plan.version()).orElse(0.0));
    metrics.gauge(
        "bulrushweir_gateway_log_lines_dropped", "Log lines that were dropped.", log::dropped);
    metrics.gauge(
        "bulrushweir_gateway_connections_opened", "Connections opened to endpoints.", pool::opened);
  }

  /**
   * Returns the port for callers.
   *
   * @return the bound port
   */
  public int callersPort() {
    return callersPort;
  }

  /**
   * Returns the port for the balancer.
   *
   * @return the bound port
   */
  public int statusPort() {
    return statusPort;
  }

  @Override
  public void start() {
    final GatewayServers servers = new GatewayServers(loops.group(), core, metrics, clock);
    callersPort = servers.acceptCallers(socket);
    statusPort = servers.bindStatus(settings.readiness());
    servers.bindStatus(settings.metrics());
    final SocketAddressSettings peers = settings.peers();
    mesh.bound(DatagramTransport.bind(loops.group(), peers.host(), peers.port(), mesh::receive));
    followers.forEach(TableFollower::start);
    final EventLoop loop = loops.loop();
    loop.scheduleWithFixedDelay(
        this::keepHouse, REPORT_INTERVAL_MS, REPORT_INTERVAL_MS, TimeUnit.MILLISECONDS);
    loop.scheduleWithFixedDelay(
        pool::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    logger.atInfo().log(
        "started in zone %s: callers %s, readiness %s, peers %s, platform %s",
        settings.zone(),
        settings.callers(),
        settings.readiness(),
        settings.peers(),
        settings.platform());
  }

  private void keepHouse() {
    endpointListener.expire();
    mesh.report(false);
  }

  /** Takes no new work, finishes what is in flight and then returns. */
  @Override
  public void stop() {
    final long startMs = clock.nowMs();
    final long latestMs = startMs + drainPolicy.exitAfterMs();
    loops.loop().submit(core::drain).syncUninterruptibly();
    logger.atInfo().log("stopping; %d requests in flight", core.inFlight());
    boolean done = false;
    while (!done && clock.nowMs() < latestMs) {
      try {
        Thread.sleep(DRAIN_CHECK_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
      done = loops.loop().submit(() -> isDrained(startMs)).syncUninterruptibly().getNow();
    }
    followers.forEach(TableFollower::stop);
    loops.loop().submit(() -> mesh.report(true)).syncUninterruptibly();
    logger.atInfo().log("stopped; %d requests broken off", core.inFlight());
  }

  private boolean isDrained(final long startMs) {
    final long nowMs = clock.nowMs();
    if (nowMs - startMs < BALANCER_NOTICE_MS) {
      return false;
    }
    core.closeIdle();
    return core.inFlight() == 0 && nowMs - core.lastConnectionMs() > QUIET_MS;
  }
}
