package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.demo.DemoAnswer;
import org.bulrushweir.demo.DemoCall;
import org.bulrushweir.demo.DemoCaller;
import org.bulrushweir.demo.DemoFleet;
import org.bulrushweir.platform.EndpointSide;
import org.bulrushweir.standin.DirectEndpointStandIn;
import org.bulrushweir.standin.StandInStream;
import org.bulrushweir.store.SharedTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A faulty endpoint sends bytes until the gateway closes the connection. The gateway must close it
 * soon, keep little of the bytes and serve other requests meanwhile.
 */
class EndlessBytesTest {

  /** Socket buffers on both sides hold several megabytes. */
  private static final long MAX_WRITTEN_BYTES = 32L << 20;

  private static final long MAX_ANSWER_S = 10;
  private static final long MAX_OPEN_MS = 2_500;
  private static final long PATIENCE_MS = 1_000;
  private static final int PIECE_BYTES = 65_536;
  private static final int END_BYTES = 64;
  private static final long POLL_MS = 20;

  private final DemoFleet fleet =
      new DemoFleet(new PrintStream(OutputStream.nullOutputStream()), 0);
  private final DemoCaller caller = new DemoCaller();
  private GatewayService gateway;

  @BeforeEach
  void start() {
    gateway = fleet.startGateway("gateway-1");
  }

  @AfterEach
  void close() {
    caller.close();
    fleet.close();
  }

  private void register(final String id, final ServiceName service, final int port) {
    fleet
        .platform()
        .put(
            SharedTable.ENDPOINTS,
            id,
            EndpointSide.registration(
                service, "127.0.0.1:" + port, new ZoneName("zone-1"), 8, false, 1));
  }

  private void awaitRequest(final EndlessEndpoint endpoint) throws InterruptedException {
    final long untilMs = System.currentTimeMillis() + TimeUnit.SECONDS.toMillis(MAX_ANSWER_S);
    while (endpoint.requests() == 0 && System.currentTimeMillis() < untilMs) {
      Thread.sleep(POLL_MS);
    }
    assertTrue(endpoint.requests() > 0, "the endpoint received no request");
  }

  private void awaitClosed(final EndlessEndpoint endpoint) throws InterruptedException {
    awaitNoConnection(endpoint);
    assertTrue(endpoint.written() <= MAX_WRITTEN_BYTES, "bytes sent: " + endpoint.written());
  }

  private void awaitNoConnection(final EndlessEndpoint endpoint) throws InterruptedException {
    final long untilMs = System.currentTimeMillis() + MAX_OPEN_MS;
    while (endpoint.openConnections() > 0 && System.currentTimeMillis() < untilMs) {
      Thread.sleep(POLL_MS);
    }
    assertEquals(0, endpoint.openConnections(), "connections that the gateway keeps open");
  }

  private CompletableFuture<DemoAnswer> sendAsync(final DemoCall call) {
    return CompletableFuture.supplyAsync(() -> caller.send(gateway.callersPort(), call));
  }

  /** Sends bookings until the first one reaches the endpoint, which is read from the store. */
  private CompletableFuture<DemoAnswer> bookAt(final EndlessEndpoint endpoint)
      throws InterruptedException {
    int number = 0;
    CompletableFuture<DemoAnswer> answer = sendAsync(DemoCall.booking("b0"));
    while (endpoint.requests() == 0 && number < 100) {
      Thread.sleep(POLL_MS);
      if (answer.isDone() && endpoint.requests() == 0) {
        number++;
        answer = sendAsync(DemoCall.booking("b" + number));
      }
    }
    awaitRequest(endpoint);
    return answer;
  }

  /** Sends a request of a caller that waits for a limited time, on a connection of its own. */
  private Socket open(final String line, final String id) throws IOException {
    final StringBuilder text = new StringBuilder(line + " HTTP/1.1\r\n");
    text.append("Host: " + DemoCall.ORDER_HOST + "\r\n");
    text.append("Authorization: Bearer " + DemoCall.KEY + "\r\n");
    EndpointSide.callerHeaders(
        (name, value) -> text.append(name + ": " + value + "\r\n"), id, PATIENCE_MS, "");
    final Socket socket = new Socket(InetAddress.getLoopbackAddress(), gateway.callersPort());
    socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(MAX_ANSWER_S));
    socket
        .getOutputStream()
        .write(
            text.append("Content-Length: 0\r\n\r\n")
                .toString()
                .getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  /** Reads until the gateway closes the connection; returns the first and the last bytes. */
  private static String readEnds(final Socket socket) throws IOException {
    final byte[] piece = new byte[PIECE_BYTES];
    String first = "";
    String last = "";
    try (InputStream input = socket.getInputStream()) {
      for (int length = input.read(piece); length >= 0; length = input.read(piece)) {
        final String text = new String(piece, 0, length, StandardCharsets.US_ASCII);
        first = first.isEmpty() ? text : first;
        last = (last + text).substring(Math.max(0, last.length() + length - END_BYTES));
      }
    } catch (SocketException e) {
      // A reset ends a response as incomplete, too.
    }
    return first + last;
  }

  /** Opens connections until the endpoint, which is read from the store, has a request. */
  private Socket openAt(final EndlessEndpoint endpoint, final String line) throws Exception {
    final long untilMs = System.currentTimeMillis() + TimeUnit.SECONDS.toMillis(MAX_ANSWER_S);
    int number = 0;
    Socket socket = open(line, "r0");
    while (endpoint.requests() == 0 && System.currentTimeMillis() < untilMs) {
      Thread.sleep(POLL_MS);
      if (endpoint.requests() == 0 && socket.getInputStream().available() > 0) {
        socket.close();
        number++;
        socket = open(line, "r" + number);
      }
    }
    awaitRequest(endpoint);
    return socket;
  }

  private static Stream<EndlessBytes> at(final EndlessBytes.Place... places) {
    return Arrays.stream(EndlessBytes.values())
        .filter(bytes -> List.of(places).contains(bytes.place()));
  }

  static Stream<EndlessBytes> beforeResponses() {
    return at(EndlessBytes.Place.BEFORE_RESPONSE);
  }

  static Stream<EndlessBytes> events() {
    return at(EndlessBytes.Place.STREAM);
  }

  static Stream<EndlessBytes> bodies() {
    return at(EndlessBytes.Place.BODY);
  }

  static Stream<EndlessBytes> afterResponses() {
    return at(EndlessBytes.Place.AFTER_RESPONSE, EndlessBytes.Place.WHILE_IDLE);
  }

  @ParameterizedTest
  @MethodSource("beforeResponses")
  void connectionIsClosedSoonAndTheCallerGetsNoSuccess(final EndlessBytes bytes) throws Exception {
    try (EndlessEndpoint endpoint = new EndlessEndpoint(bytes)) {
      register("orders-1", DemoFleet.ORDERS, endpoint.port());
      final CompletableFuture<DemoAnswer> answer = bookAt(endpoint);
      awaitClosed(endpoint);
      final int status = answer.get(MAX_ANSWER_S, TimeUnit.SECONDS).status();
      assertTrue(status == 502 || status == 503, "status " + status);
    }
  }

  @ParameterizedTest
  @MethodSource("afterResponses")
  void responseIsWholeAndTheConnectionIsClosedSoon(final EndlessBytes bytes) throws Exception {
    try (EndlessEndpoint endpoint = new EndlessEndpoint(bytes)) {
      register("orders-1", DemoFleet.ORDERS, endpoint.port());
      final DemoAnswer answer = bookAt(endpoint).get(MAX_ANSWER_S, TimeUnit.SECONDS);
      assertEquals(200, answer.status());
      assertEquals("ok", answer.body());
      awaitClosed(endpoint);
    }
  }

  @ParameterizedTest
  @EnumSource(names = {"BODY", "UNFRAMED_BODY", "LONG_BODY", "TEXT_AFTER_RESPONSE"})
  void responseToHeadRequestHasNoBody(final EndlessBytes bytes) throws Exception {
    try (EndlessEndpoint endpoint = new EndlessEndpoint(bytes)) {
      register("orders-1", DemoFleet.ORDERS, endpoint.port());
      try (Socket socket = openAt(endpoint, "HEAD /look/1")) {
        awaitClosed(endpoint);
        final byte[] received = new byte[PIECE_BYTES];
        final int length = socket.getInputStream().read(received);
        final String text = new String(received, 0, length, StandardCharsets.US_ASCII);
        assertTrue(text.startsWith("HTTP/1.1 200 "), text);
        assertTrue(text.endsWith("\r\n\r\n"), text);
      }
    }
  }

  @ParameterizedTest
  @MethodSource("bodies")
  void bodyIsCutOffAtTheDeadlineIfTheCallerReads(final EndlessBytes bytes) throws Exception {
    try (EndlessEndpoint endpoint = new EndlessEndpoint(bytes)) {
      register("orders-1", DemoFleet.ORDERS, endpoint.port());
      try (Socket socket = openAt(endpoint, "POST /book/1")) {
        final String ends = readEnds(socket);
        assertTrue(ends.startsWith("HTTP/1.1 "), ends);
        assertFalse(ends.endsWith("\r\n0\r\n\r\n"), "the response looks complete");
        awaitNoConnection(endpoint);
      }
    }
  }

  @ParameterizedTest
  @MethodSource("bodies")
  void bodyIsNotReadFasterThanTheCallerReads(final EndlessBytes bytes) throws Exception {
    try (EndlessEndpoint endpoint = new EndlessEndpoint(bytes)) {
      register("orders-1", DemoFleet.ORDERS, endpoint.port());
      try (Socket socket = openAt(endpoint, "POST /book/1")) {
        awaitClosed(endpoint);
        assertTrue(socket.isConnected());
      }
    }
  }

  @ParameterizedTest
  @MethodSource("events")
  void eventWithoutEndIsGivenUpAndTheStreamGoesOnElsewhere(final EndlessBytes bytes)
      throws Exception {
    try (EndlessEndpoint endpoint = new EndlessEndpoint(bytes)) {
      // Registered first: the gateway reads registrations in their order.
      final DirectEndpointStandIn sound =
          fleet.startEndpoint("orders-1", DemoFleet.ORDERS, (StandInStream) null);
      register("engine-1", DemoFleet.ASSISTANT, endpoint.port());
      int number = 0;
      CompletableFuture<DemoAnswer> answer = sendAsync(DemoCall.draft("d0", 1));
      while (endpoint.requests() == 0 && number < 100) {
        Thread.sleep(POLL_MS);
        if (answer.isDone() && endpoint.requests() == 0) {
          number++;
          answer = sendAsync(DemoCall.draft("d" + number, 1));
        }
      }
      awaitRequest(endpoint);
      awaitClosed(endpoint);
      assertTrue(answer.get(MAX_ANSWER_S, TimeUnit.SECONDS).status() != 200);
      assertTrue(caller.send(gateway.callersPort(), DemoCall.lookup("l1")).served());
      assertTrue(sound.runs().containsKey("l1"));
    }
  }
}
