package org.bulrushweir.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.bulrushweir.testing.EarlyAnswer;
import org.bulrushweir.testing.RawRequest;
import org.bulrushweir.testing.RawServer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Proves with a real router and sidecars that callers never get an answer that was cut off, or that
 * is none in the protocol, as a whole one.
 */
class UnsoundAnswerProcessTest {

  private static final String UNKNOWN = "unknown";
  private static final String STATE = "{\"models\":[{\"model\":\"spec-7b\",\"version\":\"1\"}]}";
  private static final String EVENTS =
      "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\n"
          + "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],"
          + "\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":1}}\n\n"
          + "data: [DONE]\n\n";
  private static final int UPLOAD_BYTES = 16_000_000;

  @TempDir private static Path directory;
  private static Fleet fleet;
  private static RawServer endpoint;
  private static volatile EarlyAnswer answer;

  @BeforeAll
  static void startFleet() throws Exception {
    endpoint = new RawServer(UnsoundAnswerProcessTest::serve);
    fleet = new Fleet(directory);
    fleet.startSidecar("orders-1", "orders", endpoint.port(), "");
    fleet.startSidecar("engine-1", "assistant", endpoint.port(), "");
    fleet.startRouter("router-1");
    final String text =
        Files.readString(Path.of("src/test/resources/fleet/test-fleet.toml"))
            .replace("slots = 16", "slots = 16\nmaximum_body_bytes = 67108864")
            .replace("slots = 8", "slots = 8\nmaximum_body_bytes = 67108864");
    assertEquals(0, fleet.submit(text));
    fleet.awaitReady("router-1");
  }

  @AfterAll
  static void stopFleet() throws IOException {
    fleet.close();
    endpoint.close();
  }

  /** Answers requests of callers as scripted, and reports a loaded model. */
  private static void serve(final Socket connection) throws IOException {
    connection.setTcpNoDelay(true);
    final RawRequest request = RawRequest.read(connection.getInputStream());
    if (request.text().startsWith("POST /bookings")
        || request.text().startsWith("POST /v1/chat/completions")) {
      answer.serve(connection, request);
      return;
    }
    connection.getInputStream().readNBytes(request.contentLength());
    connection
        .getOutputStream()
        .write(
            ("HTTP/1.1 200 OK\r\nContent-Length: " + STATE.length() + "\r\n\r\n" + STATE)
                .getBytes(StandardCharsets.US_ASCII));
  }

  private static EarlyAnswer undefinedStatus(final String body) {
    return new EarlyAnswer(
        "HTTP/1.1 000 Trouble\r\nContent-Length: " + body.length() + "\r\n\r\n" + body,
        EarlyAnswer.End.CLOSED);
  }

  private static EarlyAnswer cutOff(final String body) {
    return new EarlyAnswer("HTTP/1.1 200 OK\r\n\r\n" + body, EarlyAnswer.End.RESET);
  }

  private static void assertUnknown(final HttpResponse<String> response) {
    assertEquals(504, response.statusCode(), response.body());
    assertEquals(UNKNOWN, response.headers().firstValue("Bulrushweir-Run-State").orElse(""));
  }

  private static HttpResponse<String> book(final int bytes, final String key) throws Exception {
    final HttpRequest.Builder request =
        HttpRequest.newBuilder(fleet.uri("router-1", "/services/orders/bookings"))
            .header("Bulrushweir-Organisation", "org-a")
            .POST(HttpRequest.BodyPublishers.ofString("a".repeat(bytes)));
    if (!key.isEmpty()) {
      request.header("Idempotency-Key", key);
    }
    return fleet.send(request);
  }

  private static HttpResponse<String> chat(final int bytes, final boolean stream) throws Exception {
    final String template =
        "{\"model\":\"spec-7b\",\"stream\":%s,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}";
    return fleet.send(
        fleet
            .chat("router-1", template.formatted(stream, "a".repeat(bytes)))
            .header("Bulrushweir-Deadline-Ms", "3000"));
  }

  /** Guards against a status that HTTP does not define, as the answer to a call. */
  @Test
  void callsDoNotGetAnUndefinedStatus() throws Exception {
    answer = undefinedStatus("booked");
    assertUnknown(book(10, ""));
    assertUnknown(book(10, "key-1"));
  }

  /** Guards against part of an answer, cut off during the upload, as the answer to a call. */
  @Test
  void callsDoNotGetThePartOfAnAnswer() throws Exception {
    answer = cutOff("book");
    assertUnknown(book(UPLOAD_BYTES, ""));
    assertUnknown(book(UPLOAD_BYTES, "key-2"));
  }

  /** Guards against the same for chats, as a whole and as events. */
  @Test
  void chatsDoNotGetAnUnsoundAnswer() throws Exception {
    for (final boolean stream : new boolean[] {false, true}) {
      answer = undefinedStatus(EVENTS);
      assertUnknown(chat(1, stream));
      answer = cutOff(EVENTS);
      assertUnknown(chat(UPLOAD_BYTES, stream));
    }
  }
}
