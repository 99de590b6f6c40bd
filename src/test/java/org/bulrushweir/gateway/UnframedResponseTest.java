package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.demo.DemoAnswer;
import org.bulrushweir.demo.DemoCall;
import org.bulrushweir.demo.DemoCaller;
import org.bulrushweir.demo.DemoFleet;
import org.bulrushweir.platform.EndpointSide;
import org.bulrushweir.store.SharedTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests responses that have neither a length nor chunks and end with their connection. */
class UnframedResponseTest {

  private static final String EVENTS = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";
  private static final int LARGE_BODY_BYTES = 4_000_000;
  private static final int ABORTED = 0;
  private static final int BAD_GATEWAY = 502;
  private static final int NO_ENDPOINT = 503;
  private static final long WAIT_MS = 4_000;
  private static final long POLL_MS = 20;

  private final DemoFleet fleet =
      new DemoFleet(new PrintStream(OutputStream.nullOutputStream()), 0);
  private final DemoCaller caller = new DemoCaller();

  @AfterEach
  void close() {
    caller.close();
    fleet.close();
  }

  private DemoAnswer send(
      final ServiceName service,
      final DemoCall call,
      final String body,
      final RawEndpoint.ConnectionEnd end)
      throws IOException, InterruptedException {
    try (RawEndpoint endpoint = new RawEndpoint(body, end)) {
      fleet
          .platform()
          .put(
              SharedTable.ENDPOINTS,
              "raw-1",
              EndpointSide.registration(
                  service, "127.0.0.1:" + endpoint.port(), new ZoneName("zone-1"), 8, false, 1));
      final int port = fleet.startGateway("gateway-1").callersPort();
      final long untilMs = System.currentTimeMillis() + WAIT_MS;
      DemoAnswer answer = caller.send(port, call);
      while (answer.status() == NO_ENDPOINT && System.currentTimeMillis() < untilMs) {
        Thread.sleep(POLL_MS);
        answer = caller.send(port, call);
      }
      return answer;
    }
  }

  private DemoAnswer stream(final String body) throws IOException, InterruptedException {
    return send(
        DemoFleet.ASSISTANT, DemoCall.review("r1", 1), body, RawEndpoint.ConnectionEnd.CLOSED);
  }

  private DemoAnswer booking(final RawEndpoint.ConnectionEnd end)
      throws IOException, InterruptedException {
    return send(DemoFleet.ORDERS, DemoCall.booking("b1"), "booked", end);
  }

  @Test
  void streamThatEndsBetweenEventsIsComplete() throws IOException, InterruptedException {
    assertEquals(EVENTS, stream(EVENTS).body());
  }

  @Test
  void streamCutOffInsideAnEventIsNotComplete() throws IOException, InterruptedException {
    final DemoAnswer answer = stream(EVENTS + "id: 2\nda");
    assertEquals(ABORTED, answer.status(), answer.body());
  }

  @Test
  void streamCutOffBeforeItsFirstEventIsNotComplete() throws IOException, InterruptedException {
    final DemoAnswer answer = stream("");
    assertEquals(ABORTED, answer.status(), answer.body());
  }

  @Test
  void resumableStreamCutOffInsideAnEventIsNotComplete() throws IOException, InterruptedException {
    final DemoAnswer answer =
        send(
            DemoFleet.ASSISTANT,
            DemoCall.draft("d1", 1),
            EVENTS + "id: 2\nda",
            RawEndpoint.ConnectionEnd.CLOSED);
    assertEquals(ABORTED, answer.status(), answer.body());
  }

  @Test
  void streamResetWhileItsRequestIsBeingSentIsNotComplete()
      throws IOException, InterruptedException {
    final DemoCall small = DemoCall.review("r1", 1);
    final DemoCall large =
        new DemoCall(
            small.requestId(),
            small.host(),
            small.path(),
            small.key(),
            small.promptParts(),
            "a".repeat(LARGE_BODY_BYTES));
    final DemoAnswer answer =
        send(DemoFleet.ASSISTANT, large, EVENTS, RawEndpoint.ConnectionEnd.RESET_UNREAD);
    assertEquals(ABORTED, answer.status(), answer.body());
  }

  @Test
  void callThatEndsWithItsConnectionIsComplete() throws IOException, InterruptedException {
    assertEquals("booked", booking(RawEndpoint.ConnectionEnd.CLOSED).body());
  }

  @Test
  void callWhoseConnectionIsResetIsNotComplete() throws IOException, InterruptedException {
    assertEquals(BAD_GATEWAY, booking(RawEndpoint.ConnectionEnd.RESET).status());
  }
}
