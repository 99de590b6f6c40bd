package org.bulrushweir.platform;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;

/** What an endpoint says and hears, for stand-ins of endpoints. */
public final class EndpointSide {

  private EndpointSide() {}

  /**
   * Reads the caller's id of a request.
   *
   * @param request the request
   * @return the id, null if there is none
   */
  public static String requestId(final HttpRequest request) {
    return request.headers().get(HeaderNames.REQUEST_ID);
  }

  /**
   * Tells whether a request is meant for another endpoint.
   *
   * @param request the request
   * @param self the endpoint that got it
   * @return true if it must not be run here
   */
  public static boolean isForOther(final HttpRequest request, final EndpointId self) {
    final String expected = request.headers().get(HeaderNames.EXPECTED_ENDPOINT);
    return expected != null && !expected.equals(self.value());
  }

  /**
   * Reads after which event an answer is to go on.
   *
   * @param request the request
   * @return the event's id, empty for a whole answer
   */
  public static OptionalLong resumeAfter(final HttpRequest request) {
    final String text = request.headers().get(HeaderNames.LAST_EVENT);
    return text == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(text));
  }

  /**
   * Reads the organisation that a request is sent for.
   *
   * @param request the request
   * @return its name, null if there is none
   */
  public static String organisation(final HttpRequest request) {
    return request.headers().get(HeaderNames.ORGANISATION);
  }

  /**
   * Marks an answer as made by an endpoint.
   *
   * @param headers the answer's headers
   * @param requestId the caller's id of the request
   * @param seal any text that is its own
   */
  public static void seal(final HttpHeaders headers, final String requestId, final String seal) {
    headers.set(HeaderNames.REQUEST_ID, requestId);
    headers.set(HeaderNames.ANSWER_SEAL, seal);
  }

  /**
   * Marks an answer as proof that the request was not run.
   *
   * @param headers the answer's headers
   */
  public static void markNotRun(final HttpHeaders headers) {
    headers.set(HeaderNames.NOT_RUN, "1");
  }

  /**
   * Marks an answer as one of an endpoint that leaves.
   *
   * @param headers the answer's headers
   */
  public static void markLeaving(final HttpHeaders headers) {
    headers.set(HeaderNames.LEAVING, "1");
  }

  /**
   * Writes what a caller sends beside the usual headers.
   *
   * @param headers takes names and values
   * @param requestId its id
   * @param timeLeftMs how long it waits, in milliseconds
   * @param promptParts the parts of its prompt as they are written, empty for none
   */
  public static void callerHeaders(
      final BiConsumer<String, String> headers,
      final String requestId,
      final long timeLeftMs,
      final String promptParts) {
    headers.accept(HeaderNames.REQUEST_ID.toString(), requestId);
    headers.accept(HeaderNames.TIME_LEFT.toString(), Long.toString(timeLeftMs));
    if (!promptParts.isEmpty()) {
      headers.accept(HeaderNames.PROMPT_PARTS.toString(), promptParts);
    }
  }

  /**
   * Tells whether an answer may belong to a caller's request.
   *
   * @param headers returns all values of a header of the answer
   * @param requestId the request's id
   * @return false if the answer names another request
   */
  public static boolean mayAnswer(
      final Function<String, List<String>> headers, final String requestId) {
    return headers.apply(HeaderNames.REQUEST_ID.toString()).stream().allMatch(requestId::equals);
  }

  /**
   * Writes an endpoint's registration.
   *
   * @param service its service
   * @param address its IP number and port
   * @param zone its availability zone
   * @param slots how many requests it processes at once
   * @param draining whether it is about to leave
   * @param startedAtMs the start of its process, in Unix milliseconds
   * @return the value of its row
   */
  public static String registration(
      final ServiceName service,
      final String address,
      final ZoneName zone,
      final int slots,
      final boolean draining,
      final long startedAtMs) {
    return String.format(
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
            + "\"state\":\"%s\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":%d}",
        service, address, zone, slots, draining ? "draining" : "ready", startedAtMs);
  }
}
