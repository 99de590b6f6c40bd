package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.demo.DemoFleet;
import org.bulrushweir.logging.AsyncLogWriter;
import org.bulrushweir.platform.EndpointSide;
import org.bulrushweir.store.SharedTable;
import org.bulrushweir.testing.EarlyAnswer;
import org.bulrushweir.testing.RawServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests answers that are cut off during the upload of their request, and answers with a status that
 * HTTP does not define, for each kind of request.
 */
class UnsoundAnswerTest {

  private static final String ID = "request-1";
  private static final String SEAL = "X-Response-Seal: seal\r\nX-Request-Id: @id@\r\n";
  private static final int UPLOAD_BYTES = 4_000_000;

  /** The events of an answer that is longer than what a gateway holds back. */
  private static final int LARGE_EVENTS = 10_000;

  private static final int READ_PAUSE_MS = 1_500;
  private static final long WAIT_MS = 4_000;
  private static final long POLL_MS = 20;

  /** Returns the kinds of requests with a body, and the ways to cut their answers off. */
  static Stream<Arguments> cutOffUploads() {
    return Stream.of(
            CutOffCall.UNSAFE, CutOffCall.STREAM, CutOffCall.RESUMABLE, CutOffCall.CONTINUED)
        .flatMap(
            call ->
                Stream.of(EarlyAnswer.End.RESET, EarlyAnswer.End.CLOSED)
                    .flatMap(
                        end ->
                            Stream.of(4, LARGE_EVENTS)
                                .map(events -> Arguments.of(call, end, events))));
  }

  private static String upload(final CutOffCall call, final String id) {
    return call.request(id)
            .replace("Content-Length: 0\r\n", "Content-Length: " + UPLOAD_BYTES + "\r\n")
        + "a".repeat(UPLOAD_BYTES);
  }

  private static String exchange(final int port, final String request) throws IOException {
    try (RawSocketClient client = new RawSocketClient(port)) {
      client.send(request);
      return client.read(READ_PAUSE_MS);
    }
  }

  /** Sends uploads until one has reached an endpoint. */
  private static String answerToUpload(final CutOffCall call, final EarlyAnswer answer)
      throws IOException, InterruptedException {
    try (RawServer endpoint = new RawServer(answer);
        DemoFleet fleet = new DemoFleet(new PrintStream(OutputStream.nullOutputStream()), 0)) {
      fleet
          .platform()
          .put(
              SharedTable.ENDPOINTS,
              "raw-1",
              EndpointSide.registration(
                  call.service(),
                  "127.0.0.1:" + endpoint.port(),
                  new ZoneName("zone-1"),
                  8,
                  false,
                  1));
      final int port = fleet.startGateway("gateway-1").callersPort();
      final long untilMs = System.currentTimeMillis() + WAIT_MS;
      String received = exchange(port, upload(call, "upload-0"));
      for (int number = 1;
          received.startsWith("HTTP/1.1 503") && System.currentTimeMillis() < untilMs;
          number++) {
        Thread.sleep(POLL_MS);
        received = exchange(port, upload(call, "upload-" + number));
      }
      return received;
    }
  }

  /**
   * Guards against the part of an answer, cut off during the upload, that looks like a whole one.
   */
  @ParameterizedTest
  @MethodSource("cutOffUploads")
  void answerThatIsCutOffDuringItsUploadNeverLooksWhole(
      final CutOffCall call, final EarlyAnswer.End end, final int events)
      throws IOException, InterruptedException {
    final String body = CutOffCall.events(call.lastEvent(), events);
    final String received =
        answerToUpload(call, new EarlyAnswer("HTTP/1.1 200 OK\r\n" + SEAL + "\r\n" + body, end));
    assertFalse(received.startsWith("HTTP/1.1 503"), "the upload must reach the endpoint");
    ReceivedResponse.read(received, false)
        .filter(ReceivedResponse::complete)
        .ifPresent(response -> assertEquals(502, response.status(), response.head()));
  }

  /** Guards against a gateway that gives up a whole answer since the upload goes on. */
  @Test
  void answerWithLengthIsWholeBeforeItsUpload() throws IOException, InterruptedException {
    final String received =
        answerToUpload(
            CutOffCall.UNSAFE,
            new EarlyAnswer(
                "HTTP/1.1 200 OK\r\n" + SEAL + "Content-Length: 6\r\n\r\nbooked",
                EarlyAnswer.End.HALF_CLOSED));
    final ReceivedResponse response = ReceivedResponse.read(received, false).orElseThrow();
    assertTrue(response.complete(), received);
    assertEquals("booked", response.body());
  }

  /** Guards against a status that HTTP does not define and that callers would get as an answer. */
  @ParameterizedTest
  @EnumSource(CutOffCall.class)
  void answerWithAnUndefinedStatusIsNone(final CutOffCall call) {
    final AsyncLogWriter writer =
        new AsyncLogWriter(new PrintStream(OutputStream.nullOutputStream()), 10);
    for (final String status : List.of("000", "099", "600", "999")) {
      for (final String framing : List.of("", "Content-Length: 9\r\n")) {
        try (EmbeddedGateway gateway = new EmbeddedGateway(GatewayCoreFixture.requestLog(writer))) {
          gateway.addEndpoint(call.service(), false);
          gateway.send(call.request(ID));
          final EmbeddedGateway.Arrival arrival = gateway.nextRequest().orElseThrow();
          gateway.answer(
              arrival.endpoint(),
              "HTTP/1.1 " + status + " Trouble\r\n" + SEAL.replace("@id@", ID) + framing);
          gateway.answer(arrival.endpoint(), "\r\ndata: e\n\n");
          gateway.closeEndpoint(arrival.endpoint());
          assertEquals(
              Optional.of(502),
              ReceivedResponse.read(gateway.received(), call.isToHead())
                  .map(ReceivedResponse::status),
              gateway.received());
        }
      }
    }
    writer.close();
  }
}
