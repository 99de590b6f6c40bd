package org.bulrushweir.sidecar;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.admission.AdmissionSettings;
import org.bulrushweir.admission.EndpointGate;
import org.bulrushweir.affinity.ChatLocationMap;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.engine.EngineClient;
import org.bulrushweir.kernel.KernelService;
import org.bulrushweir.kernel.PeriodicTask;
import org.bulrushweir.node.ConfigService;
import org.bulrushweir.node.FleetService;
import org.bulrushweir.node.GossipService;
import org.bulrushweir.node.PeerService;
import org.bulrushweir.settings.ProcessSettings;
import org.bulrushweir.store.PlatformStore;
import org.bulrushweir.timeline.EventLog;
import org.bulrushweir.wire.PeerIdentity;

/** Runs the sidecar's core, and drains the endpoint before the process stops. */
public final class SidecarService implements KernelService {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Maximum number of chats whose last endpoint is remembered. */
  private static final int REMEMBERED_CHATS = 200_000;

  /** The admission settings until a configuration is in force. */
  private static final AdmissionSettings UNCONFIGURED = new AdmissionSettings(1, 0, 1, Map.of());

  /** Interval of the core's ticks, in milliseconds. */
  private static final long TICK_MS = 20;

  /** Interval at which a drain checks whether attempts are still in flight, in milliseconds. */
  private static final long DRAIN_POLL_MS = 20;

  /** Time that the core stays up after the last attempt and the handover, in milliseconds. */
  private static final long LINGER_MS = 1_000;

  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().name("sidecar").daemon().factory());
  private final SidecarCore core;
  private final CacheHandover handover;
  private final GossipService gossip;
  private final PeerService peers;
  private final ConfigService configuration;

  /**
   * Creates the service.
   *
   * @param core the sidecar's core
   * @param handover transfers KV caches to other endpoints
   * @param gossip the exchange of reports with peers
   * @param peers the connections with peers
   * @param configuration supplies the configuration in force
   */
  public SidecarService(
      final SidecarCore core,
      final CacheHandover handover,
      final GossipService gossip,
      final PeerService peers,
      final ConfigService configuration) {
    this.core = core;
    this.handover = handover;
    this.gossip = gossip;
    this.peers = peers;
    this.configuration = configuration;
  }

  /**
   * Creates the service with its collaborators from the settings of a process.
   *
   * @param settings the process's settings
   * @param self the identity of this process
   * @param clock the clock
   * @param engine the client of the endpoint
   * @param events the event log of this process
   * @param platform the platform's store
   * @param fleet this process's view of the fleet
   * @param gossip the exchange of reports with peers
   * @param peers the connections with peers
   * @param configuration supplies the configuration in force
   * @return the service
   */
  public static SidecarService create(
      final ProcessSettings settings,
      final PeerIdentity self,
      final Clock clock,
      final EngineClient engine,
      final EventLog events,
      final PlatformStore platform,
      final FleetService fleet,
      final GossipService gossip,
      final PeerService peers,
      final ConfigService configuration) {
    final long nowMs = clock.nowMs();
    final EndpointId endpoint = new EndpointId(self.node().value());
    final EndpointGate gate =
        new EndpointGate(
            endpoint,
            self.incarnation(),
            UNCONFIGURED,
            new ChatLocationMap(REMEMBERED_CHATS, nowMs),
            nowMs);
    final AttemptExecutor executor =
        new AttemptExecutor(
            self, settings.service(), clock, engine, platform, new CacheFetcher(fleet, peers));
    final SidecarCore core =
        new SidecarCore(
            endpoint,
            settings.service(),
            clock,
            gate,
            new AttemptManager(
                endpoint,
                self.incarnation(),
                settings.service(),
                clock,
                gate,
                executor,
                fleet,
                events),
            executor,
            fleet,
            events);
    final CacheHandover handover =
        new CacheHandover(endpoint, settings.service(), clock, engine, fleet, peers);
    return new SidecarService(core, handover, gossip, peers, configuration);
  }

  @Override
  public void start() {
    peers.addAcceptedListener(core);
    configuration.addListener(core::reconfigure);
    timer.scheduleAtFixedRate(
        new PeriodicTask("sidecar timers", core::tick), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Returns the sidecar's core.
   *
   * @return the core
   */
  public SidecarCore core() {
    return core;
  }

  @Override
  public void stop() {
    core.startDrain();
    gossip.announce();
    logger.atInfo().log("draining the endpoint; %d attempts in flight", core.inFlight());
    final List<CacheHandover.CachedChat> chats = core.localChats();
    int handedOver = handover.run(chats);
    try {
      while (core.inFlight() > 0) {
        Thread.sleep(DRAIN_POLL_MS);
      }
      handedOver += handover.run(usedSince(core.localChats(), chats));
      Thread.sleep(LINGER_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    logger.atInfo().log("transferred the caches of %d chats to other endpoints", handedOver);
    timer.shutdownNow();
    core.close();
  }

  /** Returns the chats that were added or used after an earlier listing. */
  private static List<CacheHandover.CachedChat> usedSince(
      final List<CacheHandover.CachedChat> now, final List<CacheHandover.CachedChat> before) {
    final List<CacheHandover.CachedChat> used = new ArrayList<>(now);
    used.removeAll(before);
    return used;
  }
}
