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
import org.bulrushweir.store.SharedTable;

/** The metrics of a gateway's requests and attempts. */
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
  private final Counter failedAttempts =
      Counter.builder()
          .name("bulrushweir_gateway_failed_attempts_total")
          .help("Attempts without a whole answer, by what happened.")
          .labelNames("result")
          .register(registry());
  private final Counter unexpectedBytes =
      Counter.builder()
          .name("bulrushweir_gateway_unexpected_bytes_total")
          .help("Times that an endpoint sent bytes that belong to no waiting request, by kind.")
          .labelNames("kind")
          .register(registry());
  private final Counter heldBack =
      Counter.builder()
          .name("bulrushweir_gateway_held_back_total")
          .help("Times that a request did not go on at once after a wait, by reason.")
          .labelNames("reason")
          .register(registry());
  private final Counter storeCalls =
      Counter.builder()
          .name("bulrushweir_gateway_store_calls_total")
          .help("Calls to the store by table and kind.")
          .labelNames("table", "kind")
          .register(registry());
  private final Histogram loopDelays =
      Histogram.builder()
          .name("bulrushweir_gateway_loop_delay_seconds")
          .help("Times for which the event loop was held up and did not read its sockets.")
          .classicOnly()
          .classicUpperBounds(LATENCY_BOUNDS)
          .register(registry());
  private final QueueMetrics queue = new QueueMetrics(registry());
  private final Histogram expectationErrors =
      Histogram.builder()
          .name("bulrushweir_gateway_expected_time_error_seconds")
          .help("Difference between the expected and the actual time to the first event or end.")
          .classicOnly()
          .classicUpperBounds(LATENCY_BOUNDS)
          .register(registry());
  private final Map<String, CounterDataPoint> requestCounters = new HashMap<>();
  private final Map<RequestKind, DistributionDataPoint> firstByteByKind =
      new EnumMap<>(RequestKind.class);
  private final Map<RequestKind, DistributionDataPoint> durationByKind =
      new EnumMap<>(RequestKind.class);

  /** Creates and registers the metrics. */
  public GatewayMetrics() {
    final Histogram firstByte = latency("bulrushweir_gateway_first_part_seconds", "begin");
    final Histogram duration = latency("bulrushweir_gateway_request_seconds", "end");
    for (final RequestKind kind : RequestKind.values()) {
      firstByteByKind.put(kind, firstByte.labelValues(label(kind)));
      durationByKind.put(kind, duration.labelValues(label(kind)));
    }
  }

  QueueMetrics queue() {
    return queue;
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
   * Records a finished request.
   *
   * @param kind the request's kind
   * @param outcome the outcome, used as label value
   * @param totalMs the duration from the received request to its end, in milliseconds
   */
  public void recordRequest(final RequestKind kind, final String outcome, final long totalMs) {
    recordOutcome(label(kind), outcome);
    durationByKind.get(kind).observe(totalMs / MS_PER_SECOND);
  }

  /**
   * Counts the outcome of a request.
   *
   * @param kind the label value for the request's kind, or {@code none} without a route
   * @param outcome the outcome, used as label value
   */
  public void recordOutcome(final String kind, final String outcome) {
    requestCounters
        .computeIfAbsent(kind + ' ' + outcome, key -> requests.labelValues(kind, outcome))
        .inc();
  }

  /**
   * Records the time until a response started.
   *
   * @param kind the request's kind
   * @param ms the time since the request was received, in milliseconds
   */
  public void recordFirstByte(final RequestKind kind, final long ms) {
    firstByteByKind.get(kind).observe(ms / MS_PER_SECOND);
  }

  /**
   * Counts an attempt without a complete response.
   *
   * @param result the label value that names the failure
   */
  public void recordFailedAttempt(final String result) {
    failedAttempts.labelValues(result).inc();
  }

  /**
   * Counts a request that did not go on at once after a wait.
   *
   * @param reason the label value that names the reason
   */
  public void recordHeldBack(final String reason) {
    heldBack.labelValues(reason).inc();
  }

  /**
   * Counts a call to the store.
   *
   * @param table the table
   * @param kind the label value that names the kind of call
   */
  public void recordStoreCall(final SharedTable table, final String kind) {
    storeCalls.labelValues(table.name().toLowerCase(Locale.ROOT), kind).inc();
  }

  /**
   * Records a time for which the event loop did not read its sockets.
   *
   * @param ms the time in milliseconds
   */
  public void recordLoopDelay(final long ms) {
    loopDelays.observe(ms / MS_PER_SECOND);
  }

  /**
   * Records how far an expected time was from the actual one.
   *
   * @param ms the difference in milliseconds
   */
  public void recordExpectationError(final long ms) {
    expectationErrors.observe(ms / MS_PER_SECOND);
  }

  /**
   * Counts bytes of an endpoint that belong to no waiting request.
   *
   * @param kind the label value that names what was unexpected
   */
  public void recordUnexpectedBytes(final String kind) {
    unexpectedBytes.labelValues(kind).inc();
  }
}
