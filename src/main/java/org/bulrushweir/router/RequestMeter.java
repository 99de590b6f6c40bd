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

/** Passes the answer of one request on while recording its metrics and timeline events. */
final class RequestMeter implements AnswerSink {

  private final RequestSpec spec;

  private final AnswerSink sink;

  private final Clock clock;

  private final EventLog events;

  private final FleetMetrics metrics;

  /** Receives the time to first token, from which it derives the delay before hedging. */
  private final HedgeDelay hedgeDelay;

  /** When the request arrived, in milliseconds of the process's clock. */
  private final long startMs;

  /** Whether the first part of the answer has arrived. */
  private boolean firstPartSeen;

  /**
   * Creates a meter.
   *
   * @param spec the request
   * @param sink receives the answer
   * @param clock the process's clock
   * @param events the event log of this process
   * @param metrics the metrics of this process
   * @param hedgeDelay receives the time to first token
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

  /** Records the arrival of the request. */
  void started() {
    events.add(
        EventKind.REQUEST_RECEIVED,
        EventSubject.of(spec.id()),
        spec.service().name() + " for " + spec.organisation());
  }

  @Override
  public void accept(final RequestAction.Emit emit) throws IOException {
    if (!firstPartSeen) {
      firstPartSeen = true;
      hedgeDelay.record(spec.workClass().name(), clock.nowMs() - startMs);
      metrics.firstToken(
          spec.service().name().value(), spec.workClass().name(), clock.nowMs() - startMs);
    }
    sink.accept(emit);
  }

  /**
   * Records the outcome of the request.
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
