package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.demo.DemoCall;
import org.bulrushweir.demo.DemoFleet;
import org.bulrushweir.gateway.LeavingCaller.Ending;
import org.bulrushweir.platform.EndpointSide;
import org.bulrushweir.store.SharedTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that no work goes on for callers that have left: their bytes, their close or deadline and
 * the gateway's reading come in random order.
 */
class LeftCallerTest {

  private static final int READY_WAIT_MS = 4_000;
  private static final int POLL_MS = 20;
  private static final int SLOTS = 400;

  /** How long the event loop is held up, in milliseconds. */
  private static final long HOLD_MS = 1_000;

  /** The time within which callers leave after the start of a hold-up, in milliseconds. */
  private static final int LEAVE_WITHIN_MS = 200;

  private static final int CALLERS = 40;
  private static final int ROUNDS = 2;
  private static final int WORK_MS = 7_000;
  private static final int ANSWER_MS = 7_000;

  /** The bodies' sizes are around what the buffers of the operating system take. */
  private static final int MIN_BODY_BYTES = 70_000;

  private static final int BODY_STEP_BYTES = 10_000;

  private final DemoFleet fleet =
      new DemoFleet(new PrintStream(OutputStream.nullOutputStream()), 0);
  private final List<TimedOrders> endpoints = new ArrayList<>();
  private int callersPort;

  @BeforeEach
  void start() throws IOException, InterruptedException {
    for (int number = 1; number <= 2; number++) {
      final TimedOrders endpoint = new TimedOrders(number == 1);
      endpoints.add(endpoint);
      register("orders-" + number, DemoFleet.ORDERS, endpoint.port());
      register("engine-" + number, DemoFleet.ASSISTANT, endpoint.port());
    }
    fleet.configure(LeavingCallers.patientConfiguration());
    callersPort = fleet.startGateway("gateway-1").callersPort();
    awaitServed();
  }

  private void register(final String name, final ServiceName service, final int port) {
    fleet
        .platform()
        .put(
            SharedTable.ENDPOINTS,
            name,
            EndpointSide.registration(
                service, "127.0.0.1:" + port, new ZoneName("zone-1"), SLOTS, false, 1));
  }

  @AfterEach
  void close() throws IOException {
    fleet.close();
    for (final TimedOrders endpoint : endpoints) {
      endpoint.close();
    }
  }

  private void awaitServed() throws IOException, InterruptedException {
    final long untilMs = System.currentTimeMillis() + READY_WAIT_MS;
    int number = 0;
    while (!serve("ready-" + number).equals("200")) {
      assertTrue(System.currentTimeMillis() < untilMs, "the gateway must serve");
      Thread.sleep(POLL_MS);
      number++;
    }
  }

  private String serve(final String id) throws IOException, InterruptedException {
    final LeavingCaller caller =
        new LeavingCaller(callersPort, DemoCall.lookup(id), Ending.NONE, new Random(1));
    caller.sendAndLeave(0);
    final String status = caller.readStatus(ANSWER_MS);
    caller.close();
    return status;
  }

  private void holdLoop(final long ms) {
    fleet.loop(0).execute(() -> sleep(ms));
  }

  private static void sleep(final long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Guards against requests that are passed on after their caller has gone (GONE). */
  @ParameterizedTest
  @CsvSource({"1, false", "2, true", "3, false", "4, true"})
  void heldUpGatewayPassesOnNoRequestOfCallersThatLeft(final long seed, final boolean opensBefore)
      throws IOException, InterruptedException {
    final Random random = new Random(seed);
    final List<String> late = new ArrayList<>();
    final List<String> wrong = new ArrayList<>();
    for (int round = 0; round < ROUNDS; round++) {
      if (!opensBefore) {
        holdLoop(HOLD_MS);
      }
      try (LeavingCallers callers =
          new LeavingCallers(callersPort, "left-" + round, CALLERS, random)) {
        if (opensBefore) {
          sleep(random.nextInt(POLL_MS));
          holdLoop(HOLD_MS);
        }
        callers.sendAndLeave();
        wrong.addAll(callers.wrongAnswers());
        late.addAll(callers.late(endpoints));
      }
    }
    assertAll(
        () -> assertEquals(List.of(), late, "requests passed on after their callers had left"),
        () -> assertEquals(List.of(), wrong, "answers to callers that are still there"));
  }

  /**
   * Guards against requests that wait in the gateway, for a connection, a prompt prefix or behind
   * an earlier request, and are passed on after their caller has gone (GONE).
   */
  @ParameterizedTest
  @CsvSource({"8", "9", "10", "11"})
  void requestThatWaitsInTheGatewayIsNotPassedOnAfterItsCallerLeft(final long seed)
      throws IOException, InterruptedException {
    final Random random = new Random(seed);
    endpoints.forEach(endpoint -> endpoint.work(1 + random.nextInt(LEAVE_WITHIN_MS)));
    final List<LeavingCaller> callers = new ArrayList<>();
    for (int number = 0; number < CALLERS; number++) {
      final String id = "first-" + number;
      final DemoCall call = random.nextBoolean() ? DemoCall.lookup(id) : DemoCall.draft(id, 1);
      callers.add(new LeavingCaller(callersPort, call, Ending.CLOSE, random));
    }
    for (final LeavingCaller caller : callers) {
      caller.sendWhole(ANSWER_MS);
      caller.send(LeavingCaller.text(DemoCall.lookup(behind(caller)), ANSWER_MS));
    }
    sleep(random.nextInt(3));
    holdLoop(HOLD_MS);
    sleep(random.nextInt(LEAVE_WITHIN_MS));
    for (final LeavingCaller caller : callers) {
      // Bytes before the close must not hide it.
      caller.send("GET /look/".substring(0, random.nextInt(10)));
      caller.leave();
    }
    sleep(2 * HOLD_MS);
    final List<String> late =
        callers.stream()
            .filter(
                caller ->
                    isLate(caller.id(), caller.leftMs()) || isLate(behind(caller), caller.leftMs()))
            .map(LeavingCaller::id)
            .toList();
    assertEquals(List.of(), late, "requests passed on after their callers had left");
  }

  /**
   * Guards against bodies whose ends reach their endpoints after their callers have gone (GONE).
   */
  @Test
  void bodyIsNotCompletedAfterItsCallerLeft() throws IOException, InterruptedException {
    try (SlowReader endpoint = new SlowReader()) {
      register("orders-3", DemoFleet.ORDERS, endpoint.port());
      final List<LeavingCaller> probes = awaitRequestAt(endpoint);
      endpoints.forEach(other -> other.work(ANSWER_MS));
      final List<LeavingCaller> callers = new ArrayList<>();
      for (int number = 0; number < CALLERS; number++) {
        final DemoCall call =
            new DemoCall(
                "long-" + number,
                DemoCall.ORDER_HOST,
                "/book/1",
                DemoCall.KEY,
                "",
                "x".repeat(MIN_BODY_BYTES + number * BODY_STEP_BYTES));
        final LeavingCaller caller =
            new LeavingCaller(callersPort, call, Ending.CLOSE, new Random(number));
        callers.add(caller);
        caller.send(LeavingCaller.text(call, ANSWER_MS));
      }
      sleep(LEAVE_WITHIN_MS);
      holdLoop(HOLD_MS);
      sleep(POLL_MS);
      endpoint.readBodies();
      sleep(POLL_MS);
      for (final LeavingCaller caller : callers) {
        caller.leave();
      }
      sleep(2 * HOLD_MS);
      assertTrue(endpoint.heads() > 1, "requests must reach the endpoint");
      assertEquals(
          0,
          endpoint.completedAfter(callers.getLast().leftMs() + LeavingCallers.LEFT_BOUND_MS),
          "requests completed after their callers had left");
      for (final LeavingCaller probe : probes) {
        probe.close();
      }
    }
  }

  /** Sends requests until one reaches a new endpoint. */
  private List<LeavingCaller> awaitRequestAt(final SlowReader endpoint) throws IOException {
    final long untilMs = System.currentTimeMillis() + READY_WAIT_MS;
    final List<LeavingCaller> probes = new ArrayList<>();
    while (endpoint.heads() == 0 && System.currentTimeMillis() < untilMs) {
      final DemoCall call = DemoCall.lookup("probe-" + probes.size());
      final LeavingCaller probe =
          new LeavingCaller(callersPort, call, Ending.NONE, new Random(probes.size()));
      probe.sendWhole(ANSWER_MS);
      probes.add(probe);
      sleep(POLL_MS);
    }
    return probes;
  }

  private static String behind(final LeavingCaller caller) {
    return caller.id() + "-second";
  }

  private boolean isLate(final String id, final long leftMs) {
    return endpoints.stream()
        .anyMatch(endpoint -> endpoint.isLate(id, leftMs + LeavingCallers.LEFT_BOUND_MS));
  }

  /** Guards against work for a caller whose close is not read while its queue is full (GONE). */
  @ParameterizedTest
  @CsvSource({"5", "6", "7"})
  void workEndsSoonAfterCallerWithManyWaitingRequestsLeft(final long seed)
      throws IOException, InterruptedException {
    final Random random = new Random(seed);
    endpoints.forEach(endpoint -> endpoint.work(WORK_MS));
    final List<LeavingCaller> callers = new ArrayList<>();
    for (int number = 0; number < CALLERS; number++) {
      final LeavingCaller caller =
          new LeavingCaller(
              callersPort, DemoCall.lookup("piped-" + number), Ending.CLOSE, new Random(seed));
      callers.add(caller);
      caller.send(LeavingCaller.text(DemoCall.lookup(caller.id()), ANSWER_MS));
      for (int behind = random.nextInt(60); behind > 0; behind--) {
        final String id = caller.id() + "-" + behind;
        final DemoCall call = random.nextBoolean() ? DemoCall.lookup(id) : DemoCall.booking(id);
        caller.send(LeavingCaller.text(call, ANSWER_MS));
      }
    }
    final long untilMs = System.currentTimeMillis() + READY_WAIT_MS;
    while (!callers.stream().allMatch(this::isPassedOn) && System.currentTimeMillis() < untilMs) {
      sleep(POLL_MS);
    }
    assertTrue(callers.stream().allMatch(this::isPassedOn), "all must be passed on");
    for (final LeavingCaller caller : callers) {
      caller.leave();
    }
    Thread.sleep(LeavingCallers.LEFT_BOUND_MS);
    final List<String> atWork =
        callers.stream().map(LeavingCaller::id).filter(this::isAtWork).toList();
    assertEquals(List.of(), atWork, "requests at work 0.5 s after their callers had left");
  }

  private boolean isPassedOn(final LeavingCaller caller) {
    return endpoints.stream().anyMatch(endpoint -> endpoint.hasReceived(caller.id()));
  }

  private boolean isAtWork(final String id) {
    return endpoints.stream().anyMatch(endpoint -> endpoint.isAtWork(id));
  }
}
