package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.bulrushweir.demo.DemoFleet;
import org.bulrushweir.logging.AsyncLogWriter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the resumption of streams whose events have ids of any form, by callers and gateways. */
class EventIdResumptionTest {

  private static final String REQUEST_ID = "request-1";
  private static final String LAST_EVENT_ID = "Last-Event-Id";
  private static final int FIRST_EVENTS = 2;

  private final AsyncLogWriter writer =
      new AsyncLogWriter(new PrintStream(OutputStream.nullOutputStream()), 10);
  private final RequestLog log = GatewayCoreFixture.requestLog(writer);

  @AfterEach
  void close() {
    writer.close();
  }

  /** Returns the ids of the events of a stream. */
  static Stream<List<String>> ids() {
    return Stream.of(
        List.of("8", "9", "10", "11"),
        List.of("008", "009", "010", "011"),
        List.of("-2", "-1", "0", "1"),
        List.of("9007199254740993", "9007199254740994", "9007199254740995", "9007199254740996"),
        List.of(
            "1796600013524018048",
            "1796600013524018049",
            "1796600013524018050",
            "1796600013524018051"),
        List.of(
            "9223372036854775806",
            "9223372036854775807",
            "9223372036854775808",
            "9223372036854775809"),
        List.of(
            "18446744073709551615",
            "18446744073709551616",
            "18446744073709551617",
            "18446744073709551618"),
        List.of("1.5", "1.75", "2.5", "10.5"),
        List.of("Infinity", "NaN", "1e3", "1e4"),
        List.of("piece-a", "piece-b", "piece-c", "piece-d"),
        List.of("pièce 1", "pièce 2", "pièce 3", "pièce 4"));
  }

  private static String events(final List<String> ids) {
    final StringBuilder events = new StringBuilder();
    for (final String id : ids) {
      events.append("id: " + id + "\ndata: e\n\n");
    }
    return events.toString();
  }

  private static String head() {
    return "HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\nX-Request-Id: "
        + REQUEST_ID
        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  }

  private static String chunk(final String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static String lastChunk() {
    return "0\r\n\r\n";
  }

  private static Optional<String> completeBody(final EmbeddedGateway gateway) {
    return ReceivedResponse.read(gateway.received(), false)
        .filter(ReceivedResponse::complete)
        .map(ReceivedResponse::body);
  }

  /** Guards against pieces that are dropped since the id of the caller's last event is rounded. */
  @ParameterizedTest
  @MethodSource("ids")
  void callerThatResumesGetsAllPiecesBehindItsLastEvent(final List<String> ids) {
    for (int has = 1; has < ids.size(); has++) {
      final String lastId = ids.get(has - 1);
      final List<String> rest = ids.subList(has, ids.size());
      try (EmbeddedGateway gateway = new EmbeddedGateway(log)) {
        gateway.addEndpoint(DemoFleet.ASSISTANT, false);
        gateway.send(
            CutOffCall.RESUMABLE
                .request(REQUEST_ID)
                .replace("\r\nHost:", "\r\n" + LAST_EVENT_ID + ": " + lastId + "\r\nHost:"));
        final EmbeddedGateway.Arrival arrival = gateway.nextRequest().orElseThrow();
        assertEquals(lastId, arrival.request().header(LAST_EVENT_ID));
        gateway.answer(arrival.endpoint(), head() + chunk(events(rest)) + lastChunk());
        assertEquals(Optional.of(events(rest)), completeBody(gateway), lastId);
      }
    }
  }

  /** Guards against pieces that come twice since the gateway can't name the caller's last event. */
  @ParameterizedTest
  @MethodSource("ids")
  void gatewayResumesBehindTheLastEventThatItHasForwarded(final List<String> ids) {
    try (EmbeddedGateway gateway = new EmbeddedGateway(log)) {
      gateway.addEndpoint(DemoFleet.ASSISTANT, false);
      gateway.addEndpoint(DemoFleet.ASSISTANT, false);
      gateway.send(CutOffCall.RESUMABLE.request(REQUEST_ID));
      final EmbeddedGateway.Arrival first = gateway.nextRequest().orElseThrow();
      gateway.answer(
          first.endpoint(), head() + chunk(events(ids.subList(0, FIRST_EVENTS)) + "id: 1"));
      gateway.closeEndpoint(first.endpoint());
      final EmbeddedGateway.Arrival second = gateway.nextRequest().orElseThrow();
      final String resumedAfter = second.request().header(LAST_EVENT_ID);
      assertEquals(ids.get(FIRST_EVENTS - 1), resumedAfter);
      gateway.answer(
          second.endpoint(),
          head() + chunk(events(ids.subList(FIRST_EVENTS, ids.size()))) + lastChunk());
      assertEquals(Optional.of(events(ids)), completeBody(gateway));
    }
  }

  /** Guards against pieces that come twice since an engine repeats the event that it resumes at. */
  @ParameterizedTest
  @MethodSource("ids")
  void eventThatTheCallerHasIsNotSentAgain(final List<String> ids) {
    try (EmbeddedGateway gateway = new EmbeddedGateway(log)) {
      gateway.addEndpoint(DemoFleet.ASSISTANT, false);
      gateway.send(
          CutOffCall.RESUMABLE
              .request(REQUEST_ID)
              .replace("\r\nHost:", "\r\n" + LAST_EVENT_ID + ": " + ids.get(1) + "\r\nHost:"));
      final EmbeddedGateway.Arrival arrival = gateway.nextRequest().orElseThrow();
      gateway.answer(
          arrival.endpoint(), head() + chunk(events(ids.subList(1, ids.size()))) + lastChunk());
      assertEquals(Optional.of(events(ids.subList(2, ids.size()))), completeBody(gateway));
    }
  }
}
