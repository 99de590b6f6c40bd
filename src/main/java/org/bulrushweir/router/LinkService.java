package org.bulrushweir.router;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.Incarnation;
import org.bulrushweir.kernel.KernelService;
import org.bulrushweir.load.LoadReport;
import org.bulrushweir.load.PoolLoads;
import org.bulrushweir.node.PeerService;
import org.bulrushweir.wire.generated.LoadHint;

/** Keeps the router's links to endpoints and what it hears of their loads. */
public final class LinkService implements KernelService, LoadListener {

  private static final long TICK_MS = 100;

  private final Map<EndpointId, EndpointLink> links = new ConcurrentHashMap<>();
  private final PoolLoads loads = new PoolLoads();
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().name("links").daemon().factory());
  private final PeerService peers;
  private final Clock clock;

  /**
   * Creates the service.
   *
   * @param peers opens connections
   * @param clock the clock
   */
  public LinkService(final PeerService peers, final Clock clock) {
    this.peers = peers;
    this.clock = clock;
  }

  @Override
  public void start() {
    timer.scheduleAtFixedRate(
        () -> links.values().forEach(EndpointLink::tick), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    timer.shutdownNow();
  }

  /**
   * Returns the link to an endpoint.
   *
   * @param endpoint the endpoint
   * @return its link
   */
  EndpointLink link(final EndpointId endpoint) {
    return links.computeIfAbsent(endpoint, id -> new EndpointLink(id, peers, clock, this));
  }

  @Override
  public void loadSeen(final LoadHint hint) {
    synchronized (loads) {
      loads.update(
          new LoadReport(
              new EndpointId(hint.getEndpoint()),
              new Incarnation(hint.getIncarnation()),
              hint.getVersion(),
              hint.getLoad(),
              clock.nowMs() - hint.getAgeMs()));
    }
  }

  /**
   * Returns the freshest loads, to ride on a message to an endpoint.
   *
   * @param endpoint the endpoint that the message goes to
   * @param limit how many at the most
   * @return the loads
   */
  List<LoadHint> hintsFor(final EndpointId endpoint, final int limit) {
    final long nowMs = clock.nowMs();
    synchronized (loads) {
      return loads.freshest(limit, endpoint).stream()
          .map(
              report ->
                  LoadHint.newBuilder()
                      .setEndpoint(report.endpoint().value())
                      .setIncarnation(report.incarnation().value())
                      .setVersion(report.version())
                      .setLoad((int) report.load())
                      .setAgeMs((int) (nowMs - report.timeMs()))
                      .build())
          .toList();
    }
  }
}
