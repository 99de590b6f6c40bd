package org.bulrushweir.gateway;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.balancing.PlacementSnapshot;
import org.bulrushweir.balancing.PromptSegment;
import org.bulrushweir.logging.JsonLine;
import org.bulrushweir.logging.LogLine;
import org.bulrushweir.relay.ResponseFraming;

/**
 * An entry of the request log, written as one JSON line.
 *
 * @param timeMs the time of the event, in Unix milliseconds
 * @param node the id of this process
 * @param event the name of the event
 * @param request the caller's id of the request, empty if it was not read
 * @param route the name of the route, empty if none was found
 * @param endpoint the endpoint, empty if there is none
 * @param placement the load and cache state of the endpoint before the attempt, empty if there was
 *     none
 * @param sharedSegments the segments of a failed attempt's prompt that other requests may share,
 *     otherwise empty
 * @param planVersion the version of the active plan, zero for none
 * @param planAgeMs the time since the store last confirmed the plan, in milliseconds
 * @param result the result of the request or of the attempt
 */
record RequestLogEntry(
    long timeMs,
    NodeId node,
    String event,
    String request,
    String route,
    Optional<EndpointId> endpoint,
    Optional<PlacementSnapshot> placement,
    List<PromptSegment> sharedSegments,
    long planVersion,
    long planAgeMs,
    Result result)
    implements LogLine {

  /**
   * The result of a request or of one attempt.
   *
   * @param status the status of the endpoint's response, zero without one
   * @param framing by what the end of the response is recognised, empty without one
   * @param insideEvent whether the response is a stream that ended inside an event
   * @param attempts the number of attempts of a finished request, otherwise zero
   * @param firstMs the time from the request to the start of the response, in milliseconds,
   *     negative if it did not start
   * @param totalMs the time from the request to this event, in milliseconds
   * @param outcome the outcome as named in metrics
   * @param detail the cause of a failure, empty if there is none
   */
  record Result(
      int status,
      Optional<ResponseFraming> framing,
      boolean insideEvent,
      int attempts,
      long firstMs,
      long totalMs,
      String outcome,
      String detail) {}

  @Override
  public String text() {
    return JsonLine.of(this::write);
  }

  private void write(final JsonGenerator json) throws IOException {
    json.writeNumberField("time_ms", timeMs);
    json.writeStringField("node", node.value());
    json.writeStringField("event", event);
    json.writeStringField("request", request);
    json.writeStringField("route", route);
    json.writeStringField("endpoint", endpoint.map(EndpointId::value).orElse(""));
    if (placement.isPresent()) {
      writePlacement(json, placement.get());
    }
    if (!sharedSegments.isEmpty()) {
      json.writeStringField("shared_segments", hexIds(sharedSegments));
    }
    json.writeNumberField("plan", planVersion);
    json.writeNumberField("plan_age_ms", planAgeMs);
    writeResult(json);
  }

  private static String hexIds(final List<PromptSegment> segments) {
    return segments.stream()
        .map(segment -> Long.toHexString(segment.id()))
        .collect(Collectors.joining(","));
  }

  private static void writePlacement(final JsonGenerator json, final PlacementSnapshot placement)
      throws IOException {
    json.writeNumberField("in_flight", placement.inFlight());
    json.writeNumberField("mean_in_flight", Math.round(placement.meanInFlight()));
    if (placement.promptTokens() == 0) {
      return;
    }
    json.writeNumberField("prompt_tokens", placement.promptTokens());
    json.writeNumberField("cached_tokens", placement.cachedTokens());
    json.writeNumberField("await_ms", placement.awaitMs());
    if (placement.cacheSource().isPresent()) {
      json.writeNumberField("handed_over_tokens", placement.transferredTokens());
      json.writeStringField("handed_over_by", placement.cacheSource().get().value());
    }
  }

  private void writeResult(final JsonGenerator json) throws IOException {
    json.writeNumberField("status", result.status());
    if (result.framing().isPresent()) {
      json.writeStringField("framing", result.framing().get().name().toLowerCase(Locale.ROOT));
    }
    if (result.insideEvent()) {
      json.writeBooleanField("inside_event", true);
    }
    json.writeNumberField("attempts", result.attempts());
    json.writeNumberField("first_ms", result.firstMs());
    json.writeNumberField("total_ms", result.totalMs());
    json.writeStringField("outcome", result.outcome());
    if (!result.detail().isEmpty()) {
      json.writeStringField("detail", result.detail());
    }
  }
}
