package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.demo.DemoCall;
import org.bulrushweir.demo.DemoFleet;
import org.bulrushweir.gateway.BreakingStreamEndpoint.StreamFraming;
import org.bulrushweir.platform.EndpointSide;
import org.bulrushweir.store.SharedTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests a stream that has begun and broken off, when another engine is asked to resume it. */
class FailedResumptionTest {

  private static final String ERROR = "the engine failed\n\nid: 9\ndata: error\n\n";
  private static final String ERROR_LENGTH = "Content-Length: " + ERROR.length() + "\r\n";
  private static final Pattern CONTENT_LENGTH =
      Pattern.compile("content-length: (\\d+)", Pattern.CASE_INSENSITIVE);
  private static final String LAST_CHUNK = "0\r\n\r\n";
  private static final int READ_PAUSE_MS = 1_500;
  private static final long WAIT_MS = 4_000;
  private static final long POLL_MS = 20;

  private final DemoFleet fleet =
      new DemoFleet(new PrintStream(OutputStream.nullOutputStream()), 0);

  @AfterEach
  void close() {
    fleet.close();
  }

  private static String chunk(final String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  /** Returns responses of an engine that does not go on with the stream. */
  static Stream<Arguments> failures() {
    final List<String> responses =
        List.of(
            BreakingStreamEndpoint.head("500 Internal Server Error", ERROR_LENGTH) + ERROR,
            BreakingStreamEndpoint.head(
                    "500 Internal Server Error", "Transfer-Encoding: chunked\r\n")
                + chunk(ERROR)
                + LAST_CHUNK,
            BreakingStreamEndpoint.head("502 Bad Gateway", "") + ERROR,
            BreakingStreamEndpoint.head("503 Service Unavailable", ERROR_LENGTH) + ERROR,
            BreakingStreamEndpoint.head(
                    "503 Service Unavailable", "X-Not-Executed: 1\r\n" + ERROR_LENGTH)
                + ERROR,
            BreakingStreamEndpoint.head("404 Not Found", ERROR_LENGTH) + ERROR,
            BreakingStreamEndpoint.head("302 Found", ERROR_LENGTH) + ERROR,
            BreakingStreamEndpoint.head("204 No Content", ""),
            BreakingStreamEndpoint.head("206 Partial Content", ERROR_LENGTH) + ERROR,
            BreakingStreamEndpoint.head("200 OK", ""),
            "HTTP/1.1 200 OK\r\n" + ERROR_LENGTH + "\r\n" + ERROR,
            "HTTP/1.1 500 Internal Server Error\r\n" + ERROR_LENGTH + "\r\n" + ERROR,
            "no answer at all\r\n\r\n" + ERROR);
    return Stream.of(StreamFraming.values())
        .flatMap(framing -> responses.stream().map(response -> Arguments.of(framing, response)));
  }

  private void register(final String name, final BreakingStreamEndpoint engine) {
    fleet
        .platform()
        .put(
            SharedTable.ENDPOINTS,
            name,
            EndpointSide.registration(
                DemoFleet.ASSISTANT,
                "127.0.0.1:" + engine.port(),
                new ZoneName("zone-1"),
                8,
                false,
                1));
  }

  /** Returns the raw response to a resumable stream at a gateway before two such engines. */
  private String stream(
      final StreamFraming framing, final String resumed, final String... callerHeaders)
      throws IOException, InterruptedException {
    try (BreakingStreamEndpoint first = new BreakingStreamEndpoint(framing, resumed);
        BreakingStreamEndpoint second = new BreakingStreamEndpoint(framing, resumed)) {
      register("engine-1", first);
      register("engine-2", second);
      final int port = fleet.startGateway("gateway-1").callersPort();
      final long untilMs = System.currentTimeMillis() + WAIT_MS;
      String response = send(port, 0, callerHeaders);
      for (int number = 1;
          !response.startsWith("HTTP/1.1 200") && System.currentTimeMillis() < untilMs;
          number++) {
        Thread.sleep(POLL_MS);
        response = send(port, number, callerHeaders);
      }
      return response;
    }
  }

  private static String send(final int port, final int number, final String... callerHeaders)
      throws IOException {
    final DemoCall call = DemoCall.draft("d" + number, 1);
    try (RawSocketClient client = new RawSocketClient(port)) {
      client.send(
          "POST "
              + call.path()
              + " HTTP/1.1\r\nHost: "
              + call.host()
              + "\r\nX-Request-Id: "
              + call.requestId()
              + "\r\nAuthorization: Bearer "
              + call.key()
              + "\r\nX-Deadline-Ms: 3000\r\nContent-Length: 0\r\n"
              + String.join("", callerHeaders)
              + "\r\n");
      return client.read(READ_PAUSE_MS);
    }
  }

  private static boolean isComplete(final String response) {
    final Matcher length = CONTENT_LENGTH.matcher(response);
    return length.find()
        ? body(response).length() >= Integer.parseInt(length.group(1))
        : response.endsWith(LAST_CHUNK);
  }

  /** Returns the body of a response; the last of its chunks may be incomplete. */
  private static String body(final String response) {
    String rest = response.substring(response.indexOf("\r\n\r\n") + 4);
    if (CONTENT_LENGTH.matcher(response).find()) {
      return rest;
    }
    final StringBuilder body = new StringBuilder();
    while (rest.contains("\r\n")) {
      final int lineEnd = rest.indexOf("\r\n");
      final int length = Integer.parseInt(rest.substring(0, lineEnd), 16);
      final int start = lineEnd + 2;
      body.append(rest, start, Math.min(rest.length(), start + length));
      rest = rest.substring(Math.min(rest.length(), start + length + 2));
    }
    return body.toString();
  }

  /** Guards against an error inside a stream, and against a stream that seems complete by it. */
  @ParameterizedTest
  @MethodSource("failures")
  void failureOfTheNextEngineBreaksTheStreamOff(final StreamFraming framing, final String resumed)
      throws IOException, InterruptedException {
    final String response = stream(framing, resumed);
    assertTrue(response.startsWith("HTTP/1.1 200"), response);
    assertTrue(BreakingStreamEndpoint.STREAM.startsWith(body(response)), response);
    assertFalse(isComplete(response), response);
  }

  /** Guards against a length of the first response that the resumed stream does not have. */
  @ParameterizedTest
  @EnumSource(StreamFraming.class)
  void streamThatIsResumedIsComplete(final StreamFraming framing)
      throws IOException, InterruptedException {
    final String response =
        stream(
            framing,
            BreakingStreamEndpoint.head("200 OK", "Transfer-Encoding: chunked\r\n")
                + chunk(BreakingStreamEndpoint.rest())
                + LAST_CHUNK);
    assertEquals(BreakingStreamEndpoint.STREAM, body(response), response);
    assertTrue(isComplete(response), response);
  }

  /** Guards against an engine that ends before it has sent anything to a caller that resumes. */
  @Test
  void resumptionByTheCallerIsNotCompleteWithoutAnEvent() throws IOException, InterruptedException {
    final String response =
        stream(
            StreamFraming.CHUNKED,
            BreakingStreamEndpoint.head("200 OK", ""),
            "Last-Event-Id: 1\r\n");
    assertTrue(response.startsWith("HTTP/1.1 200"), response);
    assertFalse(isComplete(response), response);
  }
}
