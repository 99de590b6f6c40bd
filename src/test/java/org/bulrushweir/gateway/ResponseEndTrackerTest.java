package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.catalog.RequestKind;
import org.bulrushweir.catalog.Route;
import org.bulrushweir.catalog.WeightedService;
import org.bulrushweir.relay.EventStreamFramer;
import org.bulrushweir.relay.RelayLimits;
import org.bulrushweir.relay.RequestHead;
import org.bulrushweir.relay.ResponseFraming;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests by what the end of a response is judged, for each kind of request. */
class ResponseEndTrackerTest {

  private static final ServiceName SERVICE = new ServiceName("assistant");
  private static final String EVENT = "id: 0\ndata: a\n\n";
  private static final String PART_OF_EVENT = "id: 1\nda";

  private final EventStreamFramer framer = new EventStreamFramer(Optional.empty());

  private ResponseEndTracker tracker(final RequestKind kind, final boolean resumable) {
    final Route route =
        new Route(
            "route",
            "chat.example",
            "/route/",
            kind,
            1_000,
            100,
            0,
            List.of(new WeightedService(SERVICE, 1)),
            1,
            true,
            false,
            resumable);
    final RequestHead head =
        new RequestHead(
            "request-1",
            "chat.example",
            "/route/1",
            OptionalLong.empty(),
            Optional.empty(),
            List.of(),
            OptionalLong.empty(),
            Optional.empty());
    final RelayLimits limits = new RelayLimits(resumable, resumable, 1, 1_000, 400, 400);
    return new ResponseEndTracker(
        new RoutedRequest(head, route, SERVICE, Optional.empty(), 0, limits, 0, 1), framer);
  }

  private ResponseEndTracker call() {
    return tracker(RequestKind.SAFE, false);
  }

  private ResponseEndTracker stream() {
    return tracker(RequestKind.STREAM, false);
  }

  private ResponseEndTracker resumableStream() {
    return tracker(RequestKind.STREAM, true);
  }

  private static void receive(final ResponseEndTracker tracker, final String text) {
    final ByteBuf part = Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    tracker.onPart(part);
    assertEquals(text.length(), part.readableBytes(), "the part is consumed");
    part.release();
  }

  private void feed(final String text) {
    framer.feed(text.getBytes(StandardCharsets.US_ASCII));
  }

  @Test
  void framingIsUnknownBeforeTheHead() {
    final ResponseEndTracker tracker = stream();
    assertEquals(Optional.empty(), tracker.framing());
    assertFalse(tracker.isInsideEvent());
    tracker.onHead(ResponseFraming.CHUNKED, true);
    assertEquals(Optional.of(ResponseFraming.CHUNKED), tracker.framing());
  }

  @ParameterizedTest
  @EnumSource(ResponseFraming.class)
  void callIsCompleteWhateverItsBody(final ResponseFraming framing) {
    final ResponseEndTracker tracker = call();
    tracker.onHead(framing, true);
    receive(tracker, PART_OF_EVENT);
    assertEquals(Optional.empty(), tracker.findCut());
    assertFalse(tracker.isInsideEvent());
  }

  @ParameterizedTest
  @EnumSource(ResponseFraming.class)
  void streamThatEndsBetweenEventsIsComplete(final ResponseFraming framing) {
    final ResponseEndTracker tracker = stream();
    tracker.onHead(framing, true);
    receive(tracker, EVENT);
    assertEquals(Optional.empty(), tracker.findCut());
  }

  @ParameterizedTest
  @EnumSource(ResponseFraming.class)
  void streamThatEndsInsideAnEventIsCutOff(final ResponseFraming framing) {
    final ResponseEndTracker tracker = stream();
    tracker.onHead(framing, true);
    receive(tracker, EVENT + PART_OF_EVENT);
    assertTrue(tracker.isInsideEvent());
    assertTrue(tracker.findCut().isPresent());
  }

  @Test
  void eventMayArriveInParts() {
    final ResponseEndTracker tracker = stream();
    tracker.onHead(ResponseFraming.CONNECTION, true);
    for (final String part : EVENT.split("")) {
      assertTrue(tracker.findCut().isPresent());
      receive(tracker, part);
    }
    assertEquals(Optional.empty(), tracker.findCut());
  }

  @Test
  void streamWithoutEventsIsCutOffIfItEndsWithItsConnection() {
    final ResponseEndTracker unframed = stream();
    unframed.onHead(ResponseFraming.CONNECTION, true);
    assertTrue(unframed.findCut().isPresent());
    final ResponseEndTracker framed = stream();
    framed.onHead(ResponseFraming.LENGTH, true);
    assertEquals(Optional.empty(), framed.findCut());
  }

  /** Guards against an error text that is judged as a stream. */
  @ParameterizedTest
  @EnumSource(ResponseFraming.class)
  void errorInsteadOfStreamIsCompleteWhateverItsBody(final ResponseFraming framing) {
    final ResponseEndTracker tracker = stream();
    tracker.onHead(framing, false);
    receive(tracker, "the engine failed");
    assertEquals(Optional.empty(), tracker.findCut());
    assertFalse(tracker.isInsideEvent());
  }

  @ParameterizedTest
  @EnumSource(ResponseFraming.class)
  void resumableStreamIsJudgedByItsFramer(final ResponseFraming framing) {
    final ResponseEndTracker tracker = resumableStream();
    tracker.onHead(framing, true);
    feed(EVENT);
    assertEquals(Optional.empty(), tracker.findCut());
    feed(PART_OF_EVENT);
    assertTrue(tracker.isInsideEvent());
    assertTrue(tracker.findCut().isPresent());
  }

  /** Guards against a resumption without an event that counts those of the response before it. */
  @Test
  void eventsOfTheResponseBeforeDoNotCount() {
    feed(EVENT);
    framer.startResponse();
    final ResponseEndTracker tracker = resumableStream();
    tracker.onHead(ResponseFraming.CONNECTION, true);
    assertTrue(tracker.findCut().isPresent());
    feed(EVENT);
    assertEquals(Optional.empty(), tracker.findCut());
  }
}
