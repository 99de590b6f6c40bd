package org.bulrushweir.sidecar;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.kernel.KernelService;
import org.bulrushweir.node.ConfigService;
import org.bulrushweir.node.PeerService;

/** Runs the sidecar's core, and lets work in flight end before the process stops. */
public final class SidecarService implements KernelService {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long TICK_MS = 20;
  private static final long DRAIN_POLL_MS = 20;
  private static final long LINGER_MS = 1_000;

  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().name("sidecar").daemon().factory());
  private final SidecarCore core;
  private final PeerService peers;
  private final ConfigService configuration;

  /**
   * Creates the service.
   *
   * @param core the sidecar's core
   * @param peers the connections with peers
   * @param configuration the configuration in force
   */
  public SidecarService(
      final SidecarCore core, final PeerService peers, final ConfigService configuration) {
    this.core = core;
    this.peers = peers;
    this.configuration = configuration;
  }

  @Override
  public void start() {
    peers.addAcceptedListener(core);
    configuration.addListener(core::reconfigure);
    timer.scheduleAtFixedRate(core::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
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
    core.leave();
    logger.atInfo().log("leaving; %d attempts in flight", core.inFlight());
    try {
      while (core.inFlight() > 0) {
        Thread.sleep(DRAIN_POLL_MS);
      }
      Thread.sleep(LINGER_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    timer.shutdownNow();
    core.close();
  }
}
