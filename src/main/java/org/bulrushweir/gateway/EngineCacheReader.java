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
 * Queries engines for the prompt segments that they have cached. A restarted process needs this,
 * since it no longer knows which prompts it sent where; a process that starts together with its
 * fleet does not.
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
   * @param caches queries one engine
   * @param activePlan the active routing plan, which says which services are engines
   * @param directory lists the registered endpoints
   * @param tracker records the cached prompt segments
   * @param loop the event loop
   * @param clock the process's clock
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

  /** Queries all registered engines; an engine that fails to respond is logged and skipped. */
  void queryAll() {
    directory.all().stream().filter(this::isEngine).forEach(this::query);
  }

  private boolean isEngine(final EndpointRecord entry) {
    return activePlan
        .current()
        .flatMap(plan -> plan.service(entry.service()))
        .filter(ServicePlan::engine)
        .isPresent();
  }

  private void query(final EndpointRecord engine) {
    caches
        .held(engine)
        .whenComplete(
            (segments, failure) -> loop.execute(() -> onResponse(engine, segments, failure)));
  }

  private void onResponse(
      final EndpointRecord engine, final List<PromptSegment> segments, final Throwable failure) {
    if (failure != null) {
      logger.atInfo().log(
          "could not read the cached prompt segments of engine %s: %s", engine.id(), failure);
      return;
    }
    tracker.recordCached(engine.id(), segments, clock.nowMs());
    logger.atInfo().log(
        "engine %s has %d cached prompt segments of %d tokens",
        engine.id(), segments.size(), PromptSegment.tokens(segments));
  }
}
