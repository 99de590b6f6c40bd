package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.Optional;
import java.util.stream.Stream;
import org.bulrushweir.logging.AsyncLogWriter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests responses whose end or status readers may understand differently. */
class AmbiguousResponseTest {

  private static final String ID = "request-1";
  private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";
  private static final String NAMES = "X-Request-Id: " + ID + "\r\nX-Response-Seal: seal\r\n";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
  private static final String CHUNKS = "5\r\nhello\r\n0\r\n\r\n";
  private static final int BAD_GATEWAY = 502;

  private final AsyncLogWriter writer =
      new AsyncLogWriter(new PrintStream(OutputStream.nullOutputStream()), 10);
  private final RequestLog log = GatewayCoreFixture.requestLog(writer);

  @AfterEach
  void close() {
    writer.close();
  }

  private ReceivedResponse received(final String answer) {
    try (EmbeddedGateway gateway = new EmbeddedGateway(log)) {
      gateway.addEndpoint(CutOffCall.UNSAFE.service(), false);
      gateway.send(CutOffCall.UNSAFE.request(ID));
      final EmbeddedGateway.Arrival arrival = gateway.nextRequest().orElseThrow();
      gateway.answer(arrival.endpoint(), answer);
      gateway.closeEndpoint(arrival.endpoint());
      return ReceivedResponse.read(gateway.received(), false).orElseThrow();
    }
  }

  /** Returns heads that leave the length of the body open. */
  static Stream<String> lengths() {
    return Stream.of(
            "Content-Length 5\r\n",
            "Content-Length: 5\r\nContent-Length: 5\r\n",
            "Content-Length: 5\r\nContent-Length: 2\r\n",
            "Content-Length: 5, 2\r\n",
            "Content-Length: -5\r\n",
            "Content-Length: +5\r\n",
            "Content-Length: 0x5\r\n",
            "Content-Length: 5x\r\n",
            "Content-Length: \r\n",
            "Content-Length: 99999999999999999999\r\n",
            "Content-Length: 2\r\n" + CHUNKED,
            "X-Other: a\r\n Content-Length: 9\r\n",
            "X-Other: a\r\n\tContent-Length: 9\r\n",
            "X-Other: a\r\n \r\nContent-Length: 5\r\n",
            "X-Other\r\n",
            "X-Other: a\nContent-Length: 9\r\n",
            "HTTP/1.1 200 OK\r\n")
        .map(headers -> STATUS_LINE + NAMES + headers + "\r\nhello");
  }

  /** Returns responses in chunks that are none, or not certainly. */
  static Stream<String> chunks() {
    final Stream<String> encodings =
        Stream.of(
                "identity",
                "xchunked",
                "\"chunked\"",
                "chunked;x",
                "gzip, chunked",
                "gzip",
                "chunked, gzip",
                "chunked, chunked",
                "chunked\r\nTransfer-Encoding: identity",
                "\u000bchunked",
                "")
            .map(
                value -> STATUS_LINE + NAMES + "Transfer-Encoding: " + value + "\r\n\r\n" + CHUNKS);
    final Stream<String> sizes =
        Stream.of(
                "\r\nhello\r\n0\r\n\r\n",
                "-5\r\nhello\r\n0\r\n\r\n",
                "0x5\r\nhello\r\n0\r\n\r\n",
                "100000000\r\n\r\n",
                "100000005\r\nhello\r\n0\r\n\r\n",
                "10000000000000000\r\n\r\n",
                "5\r\nhello0\r\n\r\n",
                "5\r\nhello world\r\n0\r\n\r\n",
                "5\r\nhello\r\n0 5\r\n\r\n",
                "5\nhello\n0\n\n",
                "5\r\nhello\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n")
            .map(body -> STATUS_LINE + NAMES + CHUNKED + "\r\n" + body);
    return Stream.concat(
        Stream.concat(encodings, sizes),
        Stream.of("HTTP/1.0 200 OK\r\n" + NAMES + CHUNKED + "\r\n" + CHUNKS));
  }

  /** Returns responses that have no proper status line. */
  static Stream<String> statusLines() {
    return Stream.of(
            "HTTP/1.1 20",
            "HTTP/1.1 2000 OK",
            "HTTP/1.1 +200 OK",
            "HTTP/1.1 099 OK",
            "HTTP/1.1 600 OK",
            "HTTP/1.1 999 OK",
            "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other",
            "HTTP/2.0 200 OK",
            "HTTP/2 200 OK",
            "HTTP/11 200 OK",
            "ICY 200 OK",
            "xHTTP/1.1 200 OK",
            "200 OK")
        .map(line -> line + "\r\n" + NAMES + "Content-Length: 5\r\n\r\nhello");
  }

  /** Guards against a body of another length, or a status, that no endpoint meant. */
  @ParameterizedTest
  @MethodSource({"lengths", "chunks", "statusLines"})
  void ambiguousResponseIsNotForwarded(final String answer) {
    final ReceivedResponse response = received(answer);
    assertEquals(BAD_GATEWAY, response.status(), response.toString());
    assertEquals(Optional.empty(), response.header("x-response-seal"));
  }

  /** Returns unusual responses that leave nothing open. */
  static Stream<String> clearResponses() {
    return Stream.of(
        STATUS_LINE + NAMES + "Content-Length: 5\r\n\r\nhello",
        STATUS_LINE + NAMES + "Content-Length:5\r\n\r\nhello",
        STATUS_LINE + NAMES + "content-length: 005 \r\n\r\nhello",
        "HTTP/1.1 200\r\n" + NAMES + "Content-Length: 5\r\n\r\nhello",
        "HTTP/1.0 200 OK\r\n" + NAMES + "Content-Length: 5\r\n\r\nhello",
        "HTTP/1.1 100 Continue\r\n\r\n" + STATUS_LINE + NAMES + "Content-Length: 5\r\n\r\nhello",
        STATUS_LINE + NAMES + "\r\nhello",
        STATUS_LINE + NAMES + "X-Other:\r\n\r\nhello",
        STATUS_LINE + NAMES + CHUNKED + "\r\n" + CHUNKS,
        STATUS_LINE + NAMES + "TRANSFER-ENCODING:Chunked \r\n\r\n" + CHUNKS,
        STATUS_LINE + NAMES + CHUNKED + "\r\n005;x=\"y\"\r\nhello\r\n000\r\nX-Other: a\r\n\r\n");
  }

  /** Guards against a check that is too strict. */
  @ParameterizedTest
  @MethodSource("clearResponses")
  void clearResponseIsForwarded(final String answer) {
    final ReceivedResponse response = received(answer);
    assertEquals(200, response.status(), response.toString());
    assertEquals("hello", response.body());
    assertTrue(response.complete());
  }
}
