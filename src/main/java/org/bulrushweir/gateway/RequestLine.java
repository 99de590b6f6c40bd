package org.bulrushweir.gateway;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
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
 * @param inFlight how many requests the endpoint had, as far as was known
 * @param planVersion the version of the plan that decided, zero for none
 * @param planAgeMs how old the store's last confirmation of it was, in milliseconds
 * @param status the endpoint's status, zero without one
 * @param attempts how many attempts there were
 * @param firstMs after which time the answer began, in milliseconds, negative if it did not
 * @param totalMs how long the request took, in milliseconds
 * @param outcome what became of it
 * @param detail what happened
 */
record RequestLine(
    long timeMs,
    String node,
    String event,
    String request,
    String route,
    String endpoint,
    int inFlight,
    long planVersion,
    long planAgeMs,
    int status,
    int attempts,
    long firstMs,
    long totalMs,
    String outcome,
    String detail)
    implements LogLine {

  private static final JsonFactory JSON = new JsonFactory();

  @Override
  public String text() {
    final StringWriter text = new StringWriter();
    try (JsonGenerator json = JSON.createGenerator(text)) {
      json.writeStartObject();
      json.writeNumberField("time_ms", timeMs);
      json.writeStringField("node", node);
      json.writeStringField("event", event);
      json.writeStringField("request", request);
      json.writeStringField("route", route);
      json.writeStringField("endpoint", endpoint);
      json.writeNumberField("in_flight", inFlight);
      json.writeNumberField("plan", planVersion);
      json.writeNumberField("plan_age_ms", planAgeMs);
      json.writeNumberField("status", status);
      json.writeNumberField("attempts", attempts);
      json.writeNumberField("first_ms", firstMs);
      json.writeNumberField("total_ms", totalMs);
      json.writeStringField("outcome", outcome);
      json.writeStringField("detail", detail);
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return text.toString();
  }
}
