package org.bulrushweir.gateway;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.datapoints.DistributionDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.bulrushweir.catalog.RequestKind;
import org.bulrushweir.metrics.MetricsPage;

/** Counts and measures what a gateway does. */
public final class GatewayMetrics extends MetricsPage {

  private static final double MS_PER_SECOND = 1_000;

  /** The upper bounds of the latency buckets, in seconds. */
  private static final double[] LATENCY_BOUNDS = {
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 5, 15
  };

  private final Counter requests =
      Counter.builder()
          .name("bulrushweir_gateway_requests_total")
          .help("Requests of callers by kind and outcome.")
          .labelNames("kind", "outcome")
          .register(registry());
  private final Counter failures =
      Counter.builder()
          .name("bulrushweir_gateway_failed_attempts_total")
          .help("Attempts without a whole answer, by what happened.")
          .labelNames("result")
          .register(registry());
  private final Map<String, CounterDataPoint> requestPoints = new HashMap<>();
  private final Map<RequestKind, DistributionDataPoint> first = new EnumMap<>(RequestKind.class);
  private final Map<RequestKind, DistributionDataPoint> total = new EnumMap<>(RequestKind.class);

  /** Creates the metrics. */
  public GatewayMetrics() {
    final Histogram firstPart = latency("bulrushweir_gateway_first_part_seconds", "begin");
    final Histogram duration = latency("bulrushweir_gateway_request_seconds", "end");
    for (final RequestKind kind : RequestKind.values()) {
      first.put(kind, firstPart.labelValues(label(kind)));
      total.put(kind, duration.labelValues(label(kind)));
    }
  }

  private Histogram latency(final String name, final String until) {
    return Histogram.builder()
        .name(name)
        .help("Time from a request to the " + until + " of its answer.")
        .labelNames("kind")
        .classicOnly()
        .classicUpperBounds(LATENCY_BOUNDS)
        .register(registry());
  }

  private static String label(final RequestKind kind) {
    return kind.name().toLowerCase(Locale.ROOT);
  }

  /**
   * Counts a request that has come to its end.
   *
   * @param kind its kind
   * @param outcome what became of it
   * @param totalMs how long it took, in milliseconds
   */
  public void recordRequest(final RequestKind kind, final String outcome, final long totalMs) {
    recordOutcome(label(kind), outcome);
    total.get(kind).observe(totalMs / MS_PER_SECOND);
  }

  /**
   * Counts a request that was refused.
   *
   * @param kind its kind, or a word for requests without a route
   * @param outcome what became of it
   */
  public void recordOutcome(final String kind, final String outcome) {
    requestPoints
        .computeIfAbsent(kind + ' ' + outcome, key -> requests.labelValues(kind, outcome))
        .inc();
  }

  /**
   * Measures the time until an answer began.
   *
   * @param kind the request's kind
   * @param ms the time in milliseconds
   */
  public void recordFirstByte(final RequestKind kind, final long ms) {
    first.get(kind).observe(ms / MS_PER_SECOND);
  }

  /**
   * Counts an attempt without a whole answer.
   *
   * @param result what happened
   */
  public void recordFailedAttempt(final String result) {
    failures.labelValues(result).inc();
  }
}
