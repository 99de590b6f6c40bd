package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.demo.DemoFleet;
import org.bulrushweir.gateway.CutOffAnswer.End;
import org.bulrushweir.platform.EndpointSide;
import org.bulrushweir.relay.ResponseFraming;
import org.bulrushweir.store.SharedTable;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests responses that end with their head, before a caller that reads raw bytes. */
class BodylessResponseTest {

  private static final CutOffAnswer NEXT_ANSWER =
      new CutOffShape(200, Set.of()).answer(CutOffCall.SAFE, ResponseFraming.LENGTH);
  private static final String READY = "ready";
  private static final int READ_PAUSE_MS = 50;
  private static final long WAIT_MS = 20_000;
  private static final long POLL_MS = 20;
  private static final DemoFleet FLEET =
      new DemoFleet(new PrintStream(OutputStream.nullOutputStream()), 0);
  private static final AtomicInteger REQUESTS = new AtomicInteger();

  private static CutOffEndpoint endpoint;
  private static int port;

  @BeforeAll
  static void start() throws IOException, InterruptedException {
    endpoint = new CutOffEndpoint();
    FLEET
        .platform()
        .put(
            SharedTable.ENDPOINTS,
            "orders-1",
            EndpointSide.registration(
                DemoFleet.ORDERS,
                "127.0.0.1:" + endpoint.port(),
                new ZoneName("zone-1"),
                8,
                false,
                1));
    port = FLEET.startGateway("gateway-1").callersPort();
    awaitServed();
  }

  private static void awaitServed() throws IOException, InterruptedException {
    final long untilMs = System.currentTimeMillis() + WAIT_MS;
    endpoint.script(READY, whole(CutOffCall.SAFE, NEXT_ANSWER, READY));
    String response = "";
    while (!response.startsWith("HTTP/1.1 200")) {
      assertTrue(System.currentTimeMillis() < untilMs, "the gateway must serve");
      Thread.sleep(POLL_MS);
      try (RawSocketClient client = new RawSocketClient(port)) {
        client.send(CutOffCall.SAFE.request(READY));
        response = readUntil(client, received -> received.contains("\r\n\r\n"));
      }
    }
  }

  @AfterAll
  static void close() throws IOException {
    FLEET.close();
    endpoint.close();
  }

  /** Returns kinds of requests and the responses to them. */
  static Stream<Arguments> responses() {
    final Stream<Arguments> toHead =
        Stream.of(200, 206, 404).map(status -> Arguments.of(CutOffCall.HEAD, status));
    final Stream<Arguments> toGet =
        Stream.of(204, 304).map(status -> Arguments.of(CutOffCall.SAFE, status));
    return Stream.concat(toHead, toGet)
        .flatMap(
            arguments ->
                Stream.of(ResponseFraming.values())
                    .map(framing -> Arguments.of(arguments.get()[0], arguments.get()[1], framing)));
  }

  private static CutOffCase whole(
      final CutOffCall call, final CutOffAnswer answer, final String requestId) {
    return new CutOffCase(call, answer, answer.bytes(requestId).length(), End.CLOSED, false);
  }

  /** Guards against a last chunk after a head, which callers take for the next response. */
  @ParameterizedTest
  @MethodSource("responses")
  void nextResponseFollowsTheHead(
      final CutOffCall call, final int status, final ResponseFraming framing) throws IOException {
    final String firstId = "first-" + REQUESTS.incrementAndGet();
    final String nextId = "next-" + REQUESTS.get();
    final CutOffAnswer bodyless = new CutOffShape(status, Set.of()).answer(call, framing);
    endpoint.script(firstId, whole(call, bodyless, firstId));
    endpoint.script(nextId, whole(CutOffCall.SAFE, NEXT_ANSWER, nextId));
    final String received;
    try (RawSocketClient client = new RawSocketClient(port)) {
      client.send(call.request(firstId));
      final String head = readUntil(client, text -> text.contains("\r\n\r\n"));
      client.send(CutOffCall.SAFE.request(nextId));
      received = head + readUntil(client, text -> text.contains(NEXT_ANSWER.body()));
    }
    final Optional<ReceivedResponse> first = ReceivedResponse.read(received, true);
    assertEquals(status, first.orElseThrow().status(), received);
    final Optional<ReceivedResponse> next = ReceivedResponse.read(first.get().rest(), false);
    assertEquals(Optional.of(nextId), next.orElseThrow().header("x-request-id"), received);
    assertEquals(NEXT_ANSWER.body(), next.get().body(), received);
    assertEquals("", next.get().rest(), received);
  }

  private static String readUntil(final RawSocketClient client, final Predicate<String> enough)
      throws IOException {
    final long untilMs = System.currentTimeMillis() + WAIT_MS;
    final StringBuilder received = new StringBuilder();
    while (!enough.test(received.toString()) && System.currentTimeMillis() < untilMs) {
      received.append(client.read(READ_PAUSE_MS));
    }
    return received.toString();
  }
}
