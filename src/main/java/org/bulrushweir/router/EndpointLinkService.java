package org.bulrushweir.router;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.kernel.KernelService;
import org.bulrushweir.kernel.PeriodicTask;
import org.bulrushweir.node.FleetService;
import org.bulrushweir.node.PeerService;
import org.bulrushweir.timeline.EventLog;

/** Creates, holds and periodically ticks the router's links to endpoints. */
public final class EndpointLinkService implements KernelService {

  private static final long TICK_MS = 100;

  private final Map<EndpointId, EndpointLink> links = new ConcurrentHashMap<>();
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().name("links").daemon().factory());
  private final PeerService peers;
  private final Clock clock;
  private final FleetService fleet;
  private final EventLog events;

  /**
   * Creates the service.
   *
   * @param peers opens connections to other processes
   * @param clock the process's clock
   * @param fleet the view that this process has of the fleet
   * @param events the event log of this process
   */
  public EndpointLinkService(
      final PeerService peers, final Clock clock, final FleetService fleet, final EventLog events) {
    this.peers = peers;
    this.clock = clock;
    this.fleet = fleet;
    this.events = events;
  }

  @Override
  public void start() {
    timer.scheduleAtFixedRate(
        new PeriodicTask("link timers", () -> links.values().forEach(EndpointLink::tick)),
        TICK_MS,
        TICK_MS,
        TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    timer.shutdownNow();
  }

  /**
   * Returns the link to an endpoint.
   *
   * @param endpoint the endpoint
   * @return its link, created on the first call
   */
  EndpointLink link(final EndpointId endpoint) {
    return links.computeIfAbsent(endpoint, id -> new EndpointLink(id, peers, clock, fleet, events));
  }
}
