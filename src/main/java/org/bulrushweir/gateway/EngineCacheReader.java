package org.bulrushweir.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.List;
import org.bulrushweir.api.Clock;
import org.bulrushweir.balancing.EndpointTracker;
import org.bulrushweir.balancing.PromptSegment;
import org.bulrushweir.catalog.ActivePlan;
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.catalog.ServicePlan;
import org.bulrushweir.platform.EngineCacheClient;

/**
 * Asks engines which parts of prompts they hold. A process that starts for the first time with its
 * fleet need not ask; one that has been restarted has forgotten what it sent.
 */
final class EngineCacheReader {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final EngineCacheClient caches;
  private final ActivePlan activePlan;
  private final EndpointDirectory directory;
  private final EndpointTracker tracker;
  private final EventLoop loop;
  private final Clock clock;

  /**
   * Creates a reader.
   *
   * @param caches asks engines
   * @param activePlan tells which services are engines
   * @param directory lists the endpoints
   * @param tracker takes what they hold
   * @param loop the event loop
   * @param clock the clock
   */
  EngineCacheReader(
      final EngineCacheClient caches,
      final ActivePlan activePlan,
      final EndpointDirectory directory,
      final EndpointTracker tracker,
      final EventLoop loop,
      final Clock clock) {
    this.caches = caches;
    this.activePlan = activePlan;
    this.directory = directory;
    this.tracker = tracker;
    this.loop = loop;
    this.clock = clock;
  }

  /** Asks all engines that are listed. */
  void askAll() {
    directory.all().stream().filter(this::isEngine).forEach(this::ask);
  }

  private boolean isEngine(final EndpointRecord entry) {
    return activePlan
        .current()
        .flatMap(plan -> plan.service(entry.service()))
        .filter(ServicePlan::engine)
        .isPresent();
  }

  private void ask(final EndpointRecord engine) {
    caches
        .held(engine)
        .whenComplete((parts, failure) -> loop.execute(() -> told(engine, parts, failure)));
  }

  private void told(
      final EndpointRecord engine, final List<PromptSegment> parts, final Throwable failure) {
    if (failure != null) {
      logger.atInfo().log("engine %s does not say what it holds: %s", engine.id(), failure);
      return;
    }
    tracker.recordCached(engine.id(), parts, clock.nowMs());
    logger.atInfo().log("engine %s holds %d parts", engine.id(), parts.size());
  }
}
