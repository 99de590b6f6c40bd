package org.bulrushweir.gateway;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Optional;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.balancing.PlacementSnapshot;
import org.bulrushweir.logging.JsonLine;
import org.bulrushweir.logging.LogLine;

/**
 * A log line on one request.
 *
 * @param timeMs when it was decided, in Unix milliseconds
 * @param node the process
 * @param event what was decided
 * @param request the caller's id of the request
 * @param route the route, empty if none was found
 * @param endpoint the endpoint, empty if there is none
 * @param placement what was known of the endpoint when the request was sent
 * @param planVersion the version of the plan that decided, zero for none
 * @param planAgeMs how old the store's last confirmation of it was, in milliseconds
 * @param end what became of it
 */
record RequestLogEntry(
    long timeMs,
    NodeId node,
    String event,
    String request,
    String route,
    Optional<EndpointId> endpoint,
    Optional<PlacementSnapshot> placement,
    long planVersion,
    long planAgeMs,
    Result end)
    implements LogLine {

  /**
   * What became of a request or of one attempt.
   *
   * @param status the endpoint's status, zero without one
   * @param attempts how many attempts there were
   * @param firstMs after which time the answer began, in milliseconds, negative if it did not
   * @param totalMs how long it took, in milliseconds
   * @param outcome what became of it
   * @param detail what happened
   */
  record Result(
      int status, int attempts, long firstMs, long totalMs, String outcome, String detail) {}

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
    json.writeNumberField("plan", planVersion);
    json.writeNumberField("plan_age_ms", planAgeMs);
    writeEnd(json);
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

  private void writeEnd(final JsonGenerator json) throws IOException {
    json.writeNumberField("status", end.status());
    json.writeNumberField("attempts", end.attempts());
    json.writeNumberField("first_ms", end.firstMs());
    json.writeNumberField("total_ms", end.totalMs());
    json.writeStringField("outcome", end.outcome());
    if (!end.detail().isEmpty()) {
      json.writeStringField("detail", end.detail());
    }
  }
}
