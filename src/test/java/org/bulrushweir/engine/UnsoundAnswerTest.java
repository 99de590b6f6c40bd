package org.bulrushweir.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.Call;
import okhttp3.HttpUrl;
import org.bulrushweir.testing.EarlyAnswer;
import org.bulrushweir.testing.RawServer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the client before an endpoint whose answers are cut off or no answers in the protocol. */
class UnsoundAnswerTest {

  private static final String UNFRAMED = "HTTP/1.1 200 OK\r\n\r\n";
  private static final String EVENTS =
      "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\n"
          + "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],"
          + "\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":1}}\n\n";
  private static final String DONE = "data: [DONE]\n\n";
  private static final int UPLOAD_BYTES = 16_000_000;

  private static EngineResult call(final RawServer server, final int bytes) {
    try (EngineClient client = client(server)) {
      return client.executeServiceCall(
          client.newServiceCall("POST", "/bookings", "text/plain", new byte[bytes]));
    }
  }

  private static EngineResult chat(final RawServer server, final int bytes) {
    try (EngineClient client = client(server)) {
      final EngineProtocol.ChatMessage message =
          new EngineProtocol.ChatMessage("user", "a".repeat(bytes));
      final Call call =
          client.newChatCall(
              new EngineProtocol.ChatRequest(
                  "m", List.of(message), null, true, "r", 0, null, "key"));
      return client.executeChat(call, token -> {});
    }
  }

  private static EngineClient client(final RawServer server) {
    return new EngineClient(HttpUrl.get("http://127.0.0.1:" + server.port()));
  }

  /**
   * Guards against the part of an answer, cut off during the upload, that counts as a whole one.
   */
  @ParameterizedTest
  @EnumSource(EarlyAnswer.End.class)
  void callThatIsAnsweredAndCutOffDuringItsUploadIsBroken(final EarlyAnswer.End end)
      throws IOException {
    try (RawServer server = new RawServer(new EarlyAnswer(UNFRAMED + "book", end))) {
      final EngineResult result = call(server, UPLOAD_BYTES);
      if (end == EarlyAnswer.End.HALF_CLOSED) {
        assertInstanceOf(EngineResult.Answered.class, result);
      } else {
        assertInstanceOf(EngineResult.Broken.class, result);
      }
    }
  }

  /** Guards against a stream that was cut off during the upload and counts as a whole one. */
  @ParameterizedTest
  @ValueSource(strings = {"", EVENTS})
  void chatThatIsAnsweredAndResetDuringItsUploadIsBroken(final String events) throws IOException {
    try (RawServer server =
        new RawServer(new EarlyAnswer(UNFRAMED + events, EarlyAnswer.End.RESET))) {
      assertInstanceOf(EngineResult.Broken.class, chat(server, UPLOAD_BYTES));
    }
  }

  /** Guards against a cache that counts as imported although its upload was cut off. */
  @ParameterizedTest
  @EnumSource(names = {"RESET", "CLOSED"})
  void cacheWhoseUploadIsCutOffIsNotImported(final EarlyAnswer.End end) throws IOException {
    try (RawServer server = new RawServer(new EarlyAnswer(UNFRAMED, end));
        EngineClient client = client(server)) {
      assertFalse(client.importCache("key", new byte[UPLOAD_BYTES]));
    }
  }

  /** Guards against a status that HTTP does not define and that callers would get as an answer. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "101", "600", "999"})
  void answerWithAnUndefinedStatusIsBroken(final String status) throws IOException {
    final String head = "HTTP/1.1 " + status + " Trouble\r\nContent-Length: ";
    final String stream = EVENTS + DONE;
    try (RawServer service =
            new RawServer(new EarlyAnswer(head + "6\r\n\r\nbooked", EarlyAnswer.End.CLOSED));
        RawServer engine =
            new RawServer(
                new EarlyAnswer(
                    head + stream.length() + "\r\n\r\n" + stream, EarlyAnswer.End.CLOSED))) {
      assertInstanceOf(EngineResult.Broken.class, call(service, 0));
      assertInstanceOf(EngineResult.Broken.class, chat(engine, 1));
      try (EngineClient client = client(service)) {
        assertEquals(
            OrderResult.FAILED,
            client.sendOrder(new EngineProtocol.Order(1, "m", "1", List.of(), true)));
      }
    }
  }

  /** Guards against a request that nobody sent, whose answer takes the place of the endpoint's. */
  @ParameterizedTest
  @ValueSource(strings = {"301", "302", "303", "307", "308"})
  void redirectionIsTheAnswer(final String status) throws IOException {
    try (RawServer other =
            new RawServer(
                new EarlyAnswer(
                    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", EarlyAnswer.End.CLOSED));
        RawServer service =
            new RawServer(
                new EarlyAnswer(
                    "HTTP/1.1 "
                        + status
                        + " Moved\r\nLocation: http://127.0.0.1:"
                        + other.port()
                        + "/\r\nContent-Length: 5\r\n\r\nmoved",
                    EarlyAnswer.End.CLOSED))) {
      final EngineResult.Answered answered =
          assertInstanceOf(EngineResult.Answered.class, call(service, 0));
      assertEquals(Integer.parseInt(status), answered.httpStatus());
      assertEquals("moved", new String(answered.body(), StandardCharsets.US_ASCII));
    }
  }

  /** Guards against a request that the client repeats by itself, whatever it is. */
  @ParameterizedTest
  @ValueSource(strings = {"503", "408", "421", "500"})
  void requestIsSentOnce(final String status) throws IOException {
    final AtomicInteger requests = new AtomicInteger();
    final EarlyAnswer answer =
        new EarlyAnswer(
            "HTTP/1.1 " + status + " Trouble\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n",
            EarlyAnswer.End.CLOSED);
    try (RawServer service =
        new RawServer(
            connection -> {
              requests.incrementAndGet();
              answer.serve(connection);
            })) {
      final EngineResult.Answered answered =
          assertInstanceOf(EngineResult.Answered.class, call(service, 0));
      assertEquals(Integer.parseInt(status), answered.httpStatus());
      assertEquals(1, requests.get());
    }
  }
}
