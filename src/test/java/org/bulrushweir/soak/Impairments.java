package org.bulrushweir.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;

/** Remembers when gateways, endpoints and the store were impaired. */
final class Impairments {

  private final Map<String, List<Span>> spans = new HashMap<>();

  /** One impairment. */
  private static final class Span {

    private final long fromMs;
    private long toMs = Long.MAX_VALUE;

    private Span(final long fromMs) {
      this.fromMs = fromMs;
    }
  }

  /**
   * Begins an impairment.
   *
   * @param name what is impaired
   * @param nowMs the time
   * @return ends it; takes the time
   */
  synchronized LongConsumer begin(final String name, final long nowMs) {
    final Span span = new Span(nowMs);
    spans.computeIfAbsent(name, key -> new ArrayList<>()).add(span);
    return endMs -> end(span, endMs);
  }

  /**
   * Adds an impairment that is over.
   *
   * @param name what was impaired
   * @param fromMs when it began
   * @param toMs when it ended
   */
  synchronized void add(final String name, final long fromMs, final long toMs) {
    begin(name, fromMs).accept(toMs);
  }

  private synchronized void end(final Span span, final long endMs) {
    span.toMs = endMs;
  }

  /**
   * Tells whether something was impaired.
   *
   * @param name its name
   * @param fromMs the start of the span
   * @param toMs its end
   * @return true if it was impaired at any time of it
   */
  synchronized boolean during(final String name, final long fromMs, final long toMs) {
    return spans.getOrDefault(name, List.of()).stream()
        .anyMatch(span -> span.fromMs <= toMs && span.toMs >= fromMs);
  }
}
