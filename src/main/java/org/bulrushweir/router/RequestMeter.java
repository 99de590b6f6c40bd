package org.bulrushweir.router;

import java.io.IOException;
import org.bulrushweir.api.Clock;
import org.bulrushweir.delivery.HedgeDelay;
import org.bulrushweir.delivery.RequestAction;
import org.bulrushweir.delivery.RequestOutcome;
import org.bulrushweir.metrics.FleetMetrics;
import org.bulrushweir.timeline.EventKind;
import org.bulrushweir.timeline.EventLog;
import org.bulrushweir.timeline.EventSubject;

/** Measures one request on its way to the caller, and writes it into the time line. */
final class RequestMeter implements AnswerSink {

  /** The request. */
  private final RequestSpec spec;

  /** Takes the answer. */
  private final AnswerSink sink;

  /** The clock. */
  private final Clock clock;

  /** The events of this process. */
  private final EventLog events;

  /** The metrics of this process. */
  private final FleetMetrics metrics;

  /** Learns how long first tokens take. */
  private final HedgeDelay hedgeDelay;

  /** When the request came, in milliseconds. */
  private final long startMs;

  /** Whether a part of the answer has come. */
  private boolean begun;

  /**
   * Creates a meter.
   *
   * @param spec the request
   * @param sink takes the answer
   * @param clock the clock
   * @param events the events of this process
   * @param metrics the metrics of this process
   * @param hedgeDelay learns how long first tokens take
   */
  RequestMeter(
      final RequestSpec spec,
      final AnswerSink sink,
      final Clock clock,
      final EventLog events,
      final FleetMetrics metrics,
      final HedgeDelay hedgeDelay) {
    this.spec = spec;
    this.sink = sink;
    this.clock = clock;
    this.events = events;
    this.metrics = metrics;
    this.hedgeDelay = hedgeDelay;
    this.startMs = clock.nowMs();
  }

  /** Takes note that the request has come. */
  void started() {
    events.add(
        EventKind.REQUEST_RECEIVED,
        EventSubject.of(spec.id()),
        spec.service().name() + " for " + spec.organisation());
  }

  @Override
  public void part(final RequestAction.Emit emit) throws IOException {
    if (!begun) {
      begun = true;
      hedgeDelay.record(spec.workClass().name(), clock.nowMs() - startMs);
      metrics.firstToken(
          spec.service().name().value(), spec.workClass().name(), clock.nowMs() - startMs);
    }
    sink.part(emit);
  }

  /**
   * Takes note of the outcome.
   *
   * @param outcome the outcome
   */
  void finished(final RequestOutcome outcome) {
    final String label =
        switch (outcome) {
          case RequestOutcome.Ran ran -> {
            metrics.promptTokens(
                spec.service().name().value(),
                ran.summary().promptTokens(),
                ran.summary().cachedTokens());
            yield "ran";
          }
          case RequestOutcome.NotRun notRun -> "not-run: " + notRun.kind();
          case RequestOutcome.Unknown unknown -> "unknown: " + unknown.detail();
        };
    metrics.request(
        spec.service().name().value(),
        spec.workClass().name(),
        label.split(":")[0],
        clock.nowMs() - startMs);
    events.add(EventKind.REQUEST_FINISHED, EventSubject.of(spec.id()), label);
  }
}
