package org.bulrushweir.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import org.bulrushweir.dispatch.RejectionReason;

/** The metrics of the requests that wait for room at their service. */
final class QueueMetrics {

  private static final double MS_PER_SECOND = 1_000;

  /** The upper bounds of the buckets, in seconds. */
  private static final double[] WAIT_BOUNDS = {0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};

  private final Histogram waits;
  private final Histogram errors;
  private final Counter rejections;

  /**
   * Creates and registers the metrics.
   *
   * @param registry where they are registered
   */
  QueueMetrics(final PrometheusRegistry registry) {
    waits =
        Histogram.builder()
            .name("bulrushweir_gateway_queue_wait_seconds")
            .help("Times for which requests waited for room at their service.")
            .classicOnly()
            .classicUpperBounds(WAIT_BOUNDS)
            .register(registry);
    errors =
        Histogram.builder()
            .name("bulrushweir_gateway_queue_estimate_error_seconds")
            .help("Differences between the expected and the actual waits.")
            .classicOnly()
            .classicUpperBounds(WAIT_BOUNDS)
            .register(registry);
    rejections =
        Counter.builder()
            .name("bulrushweir_gateway_queue_rejections_total")
            .help("Requests that were rejected for lack of capacity, by reason.")
            .labelNames("reason")
            .register(registry);
  }

  /**
   * Records the end of a wait.
   *
   * @param waitedMs the time, in milliseconds
   * @param estimatedMs the time that was expected, in milliseconds
   */
  void recordWait(final long waitedMs, final long estimatedMs) {
    waits.observe(waitedMs / MS_PER_SECOND);
    errors.observe(Math.abs(waitedMs - estimatedMs) / MS_PER_SECOND);
  }

  /**
   * Counts a rejection.
   *
   * @param reason the reason
   */
  void recordRejection(final RejectionReason reason) {
    rejections.labelValues(reason.name().toLowerCase(Locale.ROOT)).inc();
  }
}
