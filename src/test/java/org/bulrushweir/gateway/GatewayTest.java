package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.demo.DemoAnswer;
import org.bulrushweir.demo.DemoCall;
import org.bulrushweir.demo.DemoCaller;
import org.bulrushweir.demo.DemoFleet;
import org.bulrushweir.platform.EndpointSide;
import org.bulrushweir.platform.ExampleConfiguration;
import org.bulrushweir.standin.DirectEndpointStandIn;
import org.bulrushweir.standin.EndpointFault;
import org.bulrushweir.standin.PlatformFaults;
import org.bulrushweir.standin.StandInStream;
import org.bulrushweir.store.SharedTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests a gateway over real sockets, with callers and with endpoints that fail in various ways. */
class GatewayTest {

  private static final StandInStream STREAM = new StandInStream(10, 5, 5);
  private static final long WAIT_MS = 4_000;

  private final DemoFleet fleet =
      new DemoFleet(new PrintStream(OutputStream.nullOutputStream()), 0);
  private final DemoCaller caller = new DemoCaller();
  private DirectEndpointStandIn engine1;
  private DirectEndpointStandIn engine2;
  private DirectEndpointStandIn orders1;
  private DirectEndpointStandIn orders2;
  private GatewayService gateway;

  @BeforeEach
  void start() throws InterruptedException {
    engine1 = fleet.startEndpoint("engine-1", DemoFleet.ASSISTANT, STREAM);
    engine2 = fleet.startEndpoint("engine-2", DemoFleet.ASSISTANT, STREAM);
    orders1 = fleet.startEndpoint("orders-1", DemoFleet.ORDERS, null);
    orders2 = fleet.startEndpoint("orders-2", DemoFleet.ORDERS, null);
    gateway = fleet.startGateway("gateway-1");
    awaitStatus(DemoCall.lookup("ready"), 200);
  }

  @AfterEach
  void close() {
    caller.close();
    fleet.close();
  }

  private DemoAnswer send(final DemoCall call) {
    return caller.send(gateway.callersPort(), call);
  }

  private void awaitStatus(final DemoCall call, final int status) throws InterruptedException {
    final long untilMs = System.currentTimeMillis() + WAIT_MS;
    int number = 0;
    DemoAnswer answer = send(call);
    while (answer.status() != status && System.currentTimeMillis() < untilMs) {
      Thread.sleep(20);
      number++;
      answer =
          send(
              new DemoCall(
                  call.requestId() + '-' + number,
                  call.host(),
                  call.path(),
                  call.key(),
                  call.promptParts(),
                  call.body()));
    }
    assertEquals(status, answer.status());
  }

  private static String completeStream() {
    final StringBuilder text = new StringBuilder();
    for (int event = 0; event < STREAM.events(); event++) {
      text.append("id: ").append(event).append("\ndata: part ").append(event).append("\n\n");
    }
    return text.toString();
  }

  private int runCount(final String requestId) {
    return fleet.endpoints().values().stream()
        .mapToInt(endpoint -> endpoint.runs().getOrDefault(requestId, 0))
        .sum();
  }

  private void setOrdersFault(final EndpointFault fault) {
    orders1.misbehaveAs(fault);
    orders2.misbehaveAs(fault);
  }

  @Test
  void streamsAndCallsAreAnsweredCompletely() {
    assertEquals(completeStream(), send(DemoCall.draft("d1", 1)).body());
    assertEquals(completeStream(), send(DemoCall.review("r1", 1)).body());
    assertEquals("answer to b1", send(DemoCall.booking("b1")).body());
    assertTrue(
        Set.of(
                orders1.organisations().getOrDefault("b1", ""),
                orders2.organisations().getOrDefault("b1", ""))
            .contains("dispatch"));
  }

  @Test
  void resumableStreamIsCompletedAfterAnEndpointTruncatesIt() {
    engine1.misbehaveAs(EndpointFault.CUT);
    for (int number = 0; number < 6; number++) {
      assertEquals(completeStream(), send(DemoCall.draft("d" + number, number)).body());
    }
  }

  /** Guards against a stalled event whose first half is joined with its repetition. */
  @Test
  void resumableStreamIsCompletedAfterAnEndpointStallsInsideAnEvent() {
    engine1.misbehaveAs(EndpointFault.STALL);
    for (int number = 0; number < 6; number++) {
      assertEquals(completeStream(), send(DemoCall.draft("d" + number, number)).body());
    }
  }

  @Test
  void truncatedStreamThatMayNotBeResumedDoesNotLookComplete() {
    engine1.misbehaveAs(EndpointFault.CUT);
    engine2.misbehaveAs(EndpointFault.CUT);
    final DemoAnswer answer = send(DemoCall.review("r1", 1));
    assertEquals(0, answer.status(), answer.body());
    assertEquals(1, runCount("r1"));
  }

  @Test
  void bookingThatMayHaveRunIsNeitherRetriedNorReportedAsNotRun() {
    for (final EndpointFault fault :
        Set.of(
            EndpointFault.RESET,
            EndpointFault.CUT,
            EndpointFault.GARBAGE,
            EndpointFault.UNSEALED)) {
      setOrdersFault(fault);
      final DemoAnswer answer = send(DemoCall.booking("b-" + fault));
      assertEquals(502, answer.status(), fault + ": " + answer.body());
      assertEquals(1, runCount("b-" + fault));
    }
  }

  @Test
  void bookingThatEndpointsRefuseWithProofIsReportedAsNotRun() {
    setOrdersFault(EndpointFault.SHED);
    final DemoAnswer answer = send(DemoCall.booking("b1"));
    assertEquals(503, answer.status());
    assertFalse(answer.retryAfter().isEmpty());
    assertEquals(0, runCount("b1"));
  }

  @Test
  void refusalWithoutProofIsNotReportedAsNotRun() {
    setOrdersFault(EndpointFault.SHED_UNPROVEN);
    assertEquals(502, send(DemoCall.booking("b1")).status());
  }

  @Test
  void hangingBookingEndsAtItsRoutesTimeout() {
    setOrdersFault(EndpointFault.HANG);
    final DemoAnswer answer = send(DemoCall.booking("b1"));
    assertEquals(504, answer.status());
    assertTrue(answer.totalMs() >= 1_100 && answer.totalMs() < 1_700, answer.totalMs() + " ms");
    assertEquals(1, runCount("b1"));
  }

  /** Guards against a request that runs although its caller has stopped waiting for it. */
  @Test
  void bookingWhoseDeadlinePassesBehindAnotherOneIsNotRun() throws IOException {
    setOrdersFault(EndpointFault.HANG);
    try (RawSocketClient client = new RawSocketClient(gateway.callersPort())) {
      client.send(rawBooking("b1", 5_000) + rawBooking("b2", 500));
      final String responses = client.read(3_000);
      assertTrue(responses.startsWith("HTTP/1.1 504"), responses);
      assertTrue(responses.contains("HTTP/1.1 503"), responses);
    }
    assertEquals(0, runCount("b2"));
  }

  private static String rawBooking(final String id, final long deadlineMs) {
    final DemoCall call = DemoCall.booking(id);
    return "POST "
        + call.path()
        + " HTTP/1.1\r\nHost: "
        + call.host()
        + "\r\nX-Request-Id: "
        + id
        + "\r\nAuthorization: Bearer "
        + call.key()
        + "\r\nX-Deadline-Ms: "
        + deadlineMs
        + "\r\nContent-Length: 0\r\n\r\n";
  }

  @Test
  void lookupIsRetriedAtAnotherEndpointThanOneThatHangsOrFails() {
    for (final EndpointFault fault : Set.of(EndpointFault.HANG, EndpointFault.ERROR)) {
      orders1.misbehaveAs(fault);
      for (int number = 0; number < 4; number++) {
        assertEquals(
            "answer to l" + fault + number, send(DemoCall.lookup("l" + fault + number)).body());
      }
    }
  }

  @Test
  void responsesToOtherRequestsAreDiscarded() {
    setOrdersFault(EndpointFault.FOREIGN_FIRST);
    assertEquals("answer to b1", send(DemoCall.booking("b1")).body());
    setOrdersFault(EndpointFault.EXTRA);
    for (int number = 0; number < 6; number++) {
      assertEquals("answer to x" + number, send(DemoCall.lookup("x" + number)).body());
    }
  }

  @Test
  void drainingEndpointGetsNoNewRequests() throws InterruptedException {
    orders1.register(true);
    Thread.sleep(300);
    for (int number = 0; number < 10; number++) {
      assertTrue(send(DemoCall.booking("b" + number)).served());
    }
    assertEquals(10, orders2.runs().keySet().stream().filter(id -> id.startsWith("b")).count());
  }

  private long bookingsAt(final DirectEndpointStandIn endpoint, final String prefix) {
    return endpoint.runs().keySet().stream().filter(id -> id.startsWith(prefix)).count();
  }

  private void sendBookings(final String prefix) {
    for (int number = 0; number < 10; number++) {
      assertTrue(send(DemoCall.booking(prefix + number)).served());
    }
  }

  /** Guards against requests to an endpoint that says in its answers that it leaves. */
  @Test
  void endpointThatAnnouncesItsLeavingGetsNoNewRequests() throws InterruptedException {
    orders1.misbehaveAs(EndpointFault.LEAVING);
    for (int number = 0; number < 30 && orders1.runs().isEmpty(); number++) {
      send(DemoCall.lookup("l" + number));
    }
    sendBookings("a");
    assertEquals(0, bookingsAt(orders1, "a"));
    orders1.register(false);
    Thread.sleep(300);
    sendBookings("b");
    assertEquals(0, bookingsAt(orders1, "b"), "the same run registers once more");
    fleet.platform().misbehaveAs(new PlatformFaults(true, false, 0, 0, 0, false));
    Thread.sleep(300);
    sendBookings("c");
    assertEquals(0, bookingsAt(orders1, "c"), "the store is away");
    fleet.platform().misbehaveAs(PlatformFaults.NONE);
    orders1.misbehaveAs(EndpointFault.NONE);
    orders1.registerRestart();
    orders2.register(true);
    Thread.sleep(1_000);
    sendBookings("d");
    assertEquals(10, bookingsAt(orders1, "d"), "a new run is used");
  }

  /** Guards against requests to an endpoint that asked for none for a while. */
  @Test
  void endpointThatAsksForNoRequestsIsHeldBack() throws InterruptedException {
    orders1.misbehaveAs(EndpointFault.BUSY);
    for (int number = 0; number < 30 && orders1.refusals() == 0; number++) {
      send(DemoCall.booking("a" + number));
    }
    final int refusals = orders1.refusals();
    assertTrue(refusals > 0);
    final long untilMs = System.currentTimeMillis() + EndpointFault.BUSY_S * 1_000 - 500;
    int number = 0;
    while (System.currentTimeMillis() < untilMs) {
      assertTrue(send(DemoCall.booking("b" + number)).served());
      number++;
    }
    assertEquals(refusals, orders1.refusals());
    orders1.misbehaveAs(EndpointFault.NONE);
    Thread.sleep(1_000);
    sendBookings("c");
    assertTrue(bookingsAt(orders1, "c") > 0, "the endpoint is used again");
  }

  @Test
  void requestIsRefusedAtOnceWhileAllEndpointsAskForNone() {
    setOrdersFault(EndpointFault.BUSY);
    for (int number = 0; number < 5; number++) {
      send(DemoCall.booking("a" + number));
    }
    final int refusals = orders1.refusals() + orders2.refusals();
    final DemoAnswer answer = send(DemoCall.booking("b"));
    assertEquals(503, answer.status());
    final double retryAfterS = Double.parseDouble(answer.retryAfter());
    assertTrue(retryAfterS > EndpointFault.BUSY_S / 2.0, answer.retryAfter());
    assertTrue(retryAfterS < EndpointFault.BUSY_S + 1, answer.retryAfter());
    assertEquals(refusals, orders1.refusals() + orders2.refusals());
  }

  @Test
  void endpointRefusesRequestsMeantForAnotherOneAtItsAddress() throws InterruptedException {
    fleet.platform().put(SharedTable.ENDPOINTS, "orders-1", null);
    fleet.platform().put(SharedTable.ENDPOINTS, "orders-2", null);
    fleet
        .platform()
        .put(
            SharedTable.ENDPOINTS,
            "orders-9",
            EndpointSide.registration(
                DemoFleet.ORDERS,
                "127.0.0.1:" + orders1.port(),
                new ZoneName("zone-1"),
                8,
                false,
                1));
    Thread.sleep(300);
    assertEquals(503, send(DemoCall.booking("b1")).status());
    assertEquals(0, runCount("b1"));
  }

  private String registration(final int port, final long startedAtMs) {
    return EndpointSide.registration(
        DemoFleet.ORDERS, "127.0.0.1:" + port, new ZoneName("zone-1"), 8, false, startedAtMs);
  }

  /**
   * Another writer may put entries into the table of endpoints, and a write of an endpoint's
   * earlier run may arrive late. Neither must attract a request.
   */
  @Test
  void entriesWithoutStartAndOfEarlierRunsAttractNoRequests() throws InterruptedException {
    final DirectEndpointStandIn foreign = fleet.startEndpoint("orders-3", DemoFleet.ORDERS, null);
    final String stated = "\"born\":" + foreign.startedAtMs();
    fleet
        .platform()
        .put(
            SharedTable.ENDPOINTS,
            "orders-3",
            registration(foreign.port(), foreign.startedAtMs()).replace(stated, "\"born\":\"x\""));
    fleet
        .platform()
        .put(
            SharedTable.ENDPOINTS,
            "orders-1",
            registration(foreign.port(), orders1.startedAtMs() - 1));
    Thread.sleep(300);
    for (int number = 0; number < 20; number++) {
      assertTrue(send(DemoCall.booking("b" + number)).served());
    }
    assertEquals(Map.of(), foreign.runs());
    assertTrue(orders1.runs().size() > 0, "the current run of orders-1 stays in use");
  }

  @Test
  void newerConfigurationIsAppliedAndRevokedKeysAreRefused() throws InterruptedException {
    assertTrue(send(DemoCall.booking("b1")).served());
    fleet.configure(ExampleConfiguration.text(5).replace("key-of-dispatch", "another-key"));
    awaitStatus(DemoCall.booking("b2"), 401);
    fleet.configure(ExampleConfiguration.text(4));
    Thread.sleep(300);
    assertEquals(401, send(DemoCall.booking("b3")).status(), "an older version must be ignored");
  }

  /** Guards against routes that are open to everybody once the last key is withdrawn. */
  @Test
  void requestsAreRefusedAfterTheLastKeyIsWithdrawn() throws InterruptedException {
    fleet.configure(
        ExampleConfiguration.text(5).replaceAll("\"api_keys\": *\\[[^]]*]", "\"api_keys\":[]"));
    awaitStatus(DemoCall.booking("b1"), 401);
    final DemoCall keyless =
        new DemoCall(
            "b2",
            DemoCall.booking("b2").host(),
            DemoCall.booking("b2").path(),
            "",
            "",
            DemoCall.booking("b2").body());
    assertEquals(401, send(keyless).status());
    assertEquals(0, runCount("b2"));
  }

  @Test
  void gatewayWithOutdatedPlanRefusesUnknownRoutesOnlyTemporarily() throws InterruptedException {
    final DemoCall unknown = new DemoCall("u1", "chat.example", "/new/", DemoCall.KEY, "", "");
    assertEquals(404, send(unknown).status());
    fleet.platform().misbehaveAs(new PlatformFaults(true, false, 0, 0, 0, false));
    awaitStatus(unknown, 503);
    assertTrue(send(DemoCall.booking("b1")).served(), "known routes must still be served");
    fleet.platform().misbehaveAs(PlatformFaults.NONE);
    awaitStatus(unknown, 404);
  }

  @Test
  void registrationsThatLapseInAnOutageAreKeptForTwoSeconds() throws InterruptedException {
    fleet.platform().misbehaveAs(new PlatformFaults(true, false, 0, 0, 0, false));
    Thread.sleep(2_000);
    fleet.platform().put(SharedTable.ENDPOINTS, "orders-1", null);
    fleet.platform().put(SharedTable.ENDPOINTS, "orders-2", null);
    fleet.platform().misbehaveAs(PlatformFaults.NONE);
    Thread.sleep(1_200);
    assertTrue(send(DemoCall.booking("b1")).served());
    orders1.register(false);
    Thread.sleep(3_000);
    assertTrue(send(DemoCall.booking("b2")).served());
    assertEquals(1, orders1.runs().getOrDefault("b2", 0));
  }

  @Test
  void gatewayWithoutConfigurationIsNotReadyAndRefusesTemporarily() {
    fleet.platform().misbehaveAs(new PlatformFaults(true, false, 0, 0, 0, false));
    final GatewayService second = fleet.startGateway("gateway-2");
    final DemoAnswer answer = caller.send(second.callersPort(), DemoCall.booking("b1"));
    assertEquals(503, answer.status());
    final DemoAnswer ready =
        caller.send(second.statusPort(), new DemoCall("r", "x", "/ready", DemoCall.KEY, "", ""));
    assertEquals(503, ready.status());
  }

  @Test
  void concurrentCallersGetTheirOwnResponses() {
    final CompletableFuture<?>[] answers = new CompletableFuture<?>[60];
    for (int number = 0; number < answers.length; number++) {
      final String id = "m" + number;
      answers[number] =
          CompletableFuture.runAsync(
              () -> assertEquals("answer to " + id, send(DemoCall.lookup(id)).body()));
    }
    CompletableFuture.allOf(answers).join();
  }
}
