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
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.demo.DemoCall;
import org.bulrushweir.demo.DemoFleet;
import org.bulrushweir.gateway.LeavingCaller.Ending;
import org.bulrushweir.platform.EndpointSide;
import org.bulrushweir.store.SharedTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
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

  /** The time from the start of a hold-up in which callers send and leave, in milliseconds. */
  private static final int LEAVE_WITHIN_MS = 200;

  /** The time after which nothing may happen for a caller that has left, in milliseconds. */
  private static final long LEFT_BOUND_MS = 500;

  private static final int CALLERS = 40;
  private static final int ROUNDS = 2;
  private static final int WORK_MS = 3_000;
  private static final int ANSWER_MS = 5_000;

  private final DemoFleet fleet =
      new DemoFleet(new PrintStream(OutputStream.nullOutputStream()), 0);
  private final List<TimedOrders> endpoints = new ArrayList<>();
  private int callersPort;

  @BeforeEach
  void start() throws IOException, InterruptedException {
    for (int number = 1; number <= 2; number++) {
      final TimedOrders endpoint = new TimedOrders(number == 1);
      endpoints.add(endpoint);
      fleet
          .platform()
          .put(
              SharedTable.ENDPOINTS,
              "orders-" + number,
              EndpointSide.registration(
                  DemoFleet.ORDERS,
                  "127.0.0.1:" + endpoint.port(),
                  new ZoneName("zone-1"),
                  SLOTS,
                  false,
                  1));
    }
    callersPort = fleet.startGateway("gateway-1").callersPort();
    awaitServed();
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

  private long arrivedMs(final String id) {
    return endpoints.stream()
        .map(endpoint -> endpoint.arrivedMs().getOrDefault(id, 0L))
        .max(Long::compare)
        .orElse(0L);
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
      final List<LeavingCaller> callers = new ArrayList<>();
      if (opensBefore) {
        addCallers(callers, random, round);
        Thread.sleep(random.nextInt(POLL_MS));
      }
      holdLoop(HOLD_MS);
      if (!opensBefore) {
        addCallers(callers, random, round);
      }
      final List<Thread> threads = new ArrayList<>();
      for (final LeavingCaller caller : callers) {
        final int pauseMs = random.nextInt(LEAVE_WITHIN_MS / 2);
        final int deadlineMs = 1 + random.nextInt(LEAVE_WITHIN_MS / 4);
        threads.add(Thread.ofVirtual().start(() -> send(caller, pauseMs, deadlineMs)));
      }
      for (final Thread thread : threads) {
        thread.join();
      }
      wrong.addAll(wrongAnswers(callers));
      callers.stream().filter(this::isLate).map(LeavingCaller::id).forEach(late::add);
      for (final LeavingCaller caller : callers) {
        caller.close();
      }
    }
    assertAll(
        () -> assertEquals(List.of(), late, "requests passed on after their callers had left"),
        () -> assertEquals(List.of(), wrong, "answers to callers that are still there"));
  }

  /**
   * Guards against requests that wait in the gateway, for a connection or behind an earlier
   * request, and are passed on after their caller has gone (GONE).
   */
  @ParameterizedTest
  @CsvSource({"8", "9", "10", "11"})
  void requestThatWaitsInTheGatewayIsNotPassedOnAfterItsCallerLeft(final long seed)
      throws IOException, InterruptedException {
    final Random random = new Random(seed);
    endpoints.forEach(endpoint -> endpoint.work(1 + random.nextInt(LEAVE_WITHIN_MS)));
    final List<LeavingCaller> callers = new ArrayList<>();
    for (int number = 0; number < CALLERS; number++) {
      final DemoCall call = DemoCall.lookup("first-" + number);
      callers.add(new LeavingCaller(callersPort, call, Ending.CLOSE, random));
    }
    for (final LeavingCaller caller : callers) {
      final DemoCall second = DemoCall.lookup(behind(caller));
      caller.send(LeavingCaller.text(DemoCall.lookup(caller.id()), ANSWER_MS));
      caller.send(LeavingCaller.text(second, ANSWER_MS));
    }
    sleep(random.nextInt(3));
    holdLoop(HOLD_MS);
    sleep(random.nextInt(LEAVE_WITHIN_MS));
    for (final LeavingCaller caller : callers) {
      caller.leave();
    }
    sleep(2 * HOLD_MS);
    final List<String> late =
        callers.stream()
            .filter(caller -> isLate(caller) || isLate(behind(caller), caller.leftMs()))
            .map(LeavingCaller::id)
            .toList();
    assertEquals(List.of(), late, "requests passed on after their callers had left");
  }

  private static String behind(final LeavingCaller caller) {
    return caller.id() + "-second";
  }

  private void addCallers(final List<LeavingCaller> callers, final Random random, final int round)
      throws IOException {
    for (int number = 0; number < CALLERS; number++) {
      final String id = "left-" + round + "-" + number;
      callers.add(
          new LeavingCaller(
              callersPort,
              random.nextBoolean() ? DemoCall.lookup(id) : DemoCall.booking(id),
              Ending.values()[random.nextInt(Ending.values().length)],
              new Random(random.nextLong())));
    }
  }

  private static void send(final LeavingCaller caller, final long pauseMs, final long deadlineMs) {
    sleep(pauseMs);
    try {
      caller.sendAndLeave(deadlineMs);
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Callers that wait must be served; those whose deadline has passed are told "not run". */
  private static List<String> wrongAnswers(final List<LeavingCaller> callers) throws IOException {
    final List<String> wrong = new ArrayList<>();
    for (final LeavingCaller caller : callers) {
      if (caller.ending() != Ending.NONE && caller.ending() != Ending.DEADLINE) {
        continue;
      }
      final String expected = caller.ending() == Ending.NONE ? "200" : "503";
      final String status = caller.readStatus(ANSWER_MS);
      if (!expected.equals(status)) {
        wrong.add(caller.id() + ": " + status + " instead of " + expected);
      }
    }
    return wrong;
  }

  private boolean isLate(final LeavingCaller caller) {
    return caller.leftMs() > 0 && isLate(caller.id(), caller.leftMs());
  }

  private boolean isLate(final String id, final long leftMs) {
    return arrivedMs(id) > leftMs + LEFT_BOUND_MS;
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
    Thread.sleep(LEAVE_WITHIN_MS);
    for (final LeavingCaller caller : callers) {
      caller.leave();
    }
    Thread.sleep(LEFT_BOUND_MS);
    final List<String> atWork =
        callers.stream().map(LeavingCaller::id).filter(this::isAtWork).toList();
    assertEquals(List.of(), atWork, "requests at work 0.5 s after their callers had left");
    assertTrue(
        callers.stream().allMatch(caller -> arrivedMs(caller.id()) > 0), "all must be passed on");
  }

  private boolean isAtWork(final String id) {
    return endpoints.stream()
        .anyMatch(endpoint -> endpoint.arrivedMs().containsKey(id) && endpoint.endedMs(id) < 0);
  }
}
