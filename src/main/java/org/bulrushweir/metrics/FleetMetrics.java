package org.bulrushweir.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics;

/** Counts and measures what a router or sidecar does. */
public final class FleetMetrics extends MetricsPage {

  /** How many milliseconds a second has. */
  private static final double MILLISECONDS_PER_SECOND = 1_000;

  /** Counts callers' requests. */
  private final Counter requests =
      Counter.builder()
          .name("bulrushweir_requests_total")
          .help("Requests of callers by outcome.")
          .labelNames("service", "work_class", "outcome")
          .register(registry());

  /** Measures the time to the first part of answers. */
  private final Histogram firstToken =
      Histogram.builder()
          .name("bulrushweir_first_token_seconds")
          .help("Time from a request to the first part of its answer.")
          .labelNames("service", "work_class")
          .register(registry());

  /** Measures the time of whole answers. */
  private final Histogram duration =
      Histogram.builder()
          .name("bulrushweir_request_seconds")
          .help("Time from a request to the end of its answer.")
          .labelNames("service", "work_class")
          .register(registry());

  /** Counts attempts. */
  private final Counter attempts =
      Counter.builder()
          .name("bulrushweir_attempts_total")
          .help("Attempts by what became of them.")
          .labelNames("result")
          .register(registry());

  /** Counts prompt tokens. */
  private final Counter promptTokens =
      Counter.builder()
          .name("bulrushweir_prompt_tokens_total")
          .help("Prompt tokens of answered chats, cached ones apart.")
          .labelNames("service", "cached")
          .register(registry());

  /** Creates the metrics, those of the JVM included. */
  public FleetMetrics() {
    JvmMetrics.builder().register(registry());
  }

  /**
   * Counts a request.
   *
   * @param service its service
   * @param workClass its class of work
   * @param outcome what became of it
   * @param durationMs how long it took, in milliseconds
   */
  public void request(
      final String service, final String workClass, final String outcome, final long durationMs) {
    requests.labelValues(service, workClass, outcome).inc();
    duration.labelValues(service, workClass).observe(durationMs / MILLISECONDS_PER_SECOND);
  }

  /**
   * Measures the time to the first part of an answer.
   *
   * @param service its service
   * @param workClass its class of work
   * @param durationMs how long it took, in milliseconds
   */
  public void firstToken(final String service, final String workClass, final long durationMs) {
    firstToken.labelValues(service, workClass).observe(durationMs / MILLISECONDS_PER_SECOND);
  }

  /**
   * Counts an attempt.
   *
   * @param result what became of it
   */
  public void attempt(final String result) {
    attempts.labelValues(result).inc();
  }

  /**
   * Counts the prompt tokens of an answered chat.
   *
   * @param service its service
   * @param tokens all of them
   * @param cachedTokens those that were cached
   */
  public void promptTokens(final String service, final int tokens, final int cachedTokens) {
    promptTokens.labelValues(service, "true").inc(cachedTokens);
    promptTokens.labelValues(service, "false").inc(Math.max(0, tokens - cachedTokens));
  }
}
