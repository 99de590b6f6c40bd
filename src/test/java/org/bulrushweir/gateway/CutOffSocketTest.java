package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.demo.DemoFleet;
import org.bulrushweir.gateway.CutOffAnswer.End;
import org.bulrushweir.gateway.CutOffJudge.Verdict;
import org.bulrushweir.platform.EndpointSide;
import org.bulrushweir.relay.ResponseFraming;
import org.bulrushweir.store.SharedTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Cuts a sample of answers off at a gateway with sockets, before a caller that reads raw bytes. */
class CutOffSocketTest {

  private static final long SEED = 3_703;
  private static final int CASES = 600;
  private static final int CALLERS = 6;
  private static final int ENDPOINTS = 4;

  /** The share of the answers that are sent whole. */
  private static final double WHOLE_SHARE = 0.5;

  private static final int MIN_WHOLE = 150;
  private static final int MIN_BROKEN_OFF = 10;
  private static final int READ_PAUSE_MS = 10_000;
  private static final long WAIT_MS = 40_000;
  private static final long POLL_MS = 20;

  private final DemoFleet fleet =
      new DemoFleet(new PrintStream(OutputStream.nullOutputStream()), 0);
  private final Random random = new Random(SEED);
  private CutOffEndpoint endpoint;
  private int port;

  @BeforeEach
  void start() throws IOException, InterruptedException {
    endpoint = new CutOffEndpoint();
    for (int number = 0; number < ENDPOINTS; number++) {
      register("orders-" + number, DemoFleet.ORDERS);
      register("assistant-" + number, DemoFleet.ASSISTANT);
    }
    port = fleet.startGateway("gateway-1").callersPort();
    for (final CutOffCall call : List.of(CutOffCall.SAFE, CutOffCall.RESUMABLE)) {
      awaitServed(call);
    }
  }

  private void register(final String name, final ServiceName service) {
    fleet
        .platform()
        .put(
            SharedTable.ENDPOINTS,
            name,
            EndpointSide.registration(
                service, "127.0.0.1:" + endpoint.port(), new ZoneName("zone-1"), 8, false, 1));
  }

  private void awaitServed(final CutOffCall call) throws IOException, InterruptedException {
    final CutOffAnswer answer = CutOffShape.ALL.getFirst().answer(call, ResponseFraming.LENGTH);
    final long untilMs = System.currentTimeMillis() + WAIT_MS;
    String received = "";
    for (int number = 0; !received.startsWith("HTTP/1.1 200"); number++) {
      assertTrue(System.currentTimeMillis() < untilMs, "the gateway must serve");
      Thread.sleep(POLL_MS);
      final String id = "ready-" + call + "-" + number;
      final int length = answer.bytes(id).length();
      endpoint.script(id, new CutOffCase(call, answer, length, End.CLOSED, false));
      try (RawSocketClient client = new RawSocketClient(port)) {
        client.send(requestToClose(call, id));
        received = client.read(READ_PAUSE_MS);
      }
    }
  }

  /** Returns a request after which the gateway closes the connection. */
  private static String requestToClose(final CutOffCall call, final String id) {
    return call.request(id).replace("\r\nHost:", "\r\nConnection: close\r\nHost:");
  }

  @AfterEach
  void close() throws IOException {
    fleet.close();
    endpoint.close();
  }

  private <T> T pick(final List<T> values) {
    return values.get(random.nextInt(values.size()));
  }

  private CutOffCase sample(final String id) {
    final CutOffCall call = pick(List.of(CutOffCall.values()));
    final CutOffShape shape = pick(CutOffShape.ALL);
    final CutOffAnswer answer = shape.answer(call, pick(shape.framings()));
    final int length = answer.bytes(id).length();
    final boolean whole = random.nextDouble() < WHOLE_SHARE;
    final End end = whole ? End.CLOSED : pick(List.of(End.values()));
    return new CutOffCase(call, answer, whole ? length : random.nextInt(length), end, false);
  }

  private Verdict run(final String id, final CutOffCase cut) throws IOException {
    endpoint.script(id, cut);
    final String received;
    final boolean connected;
    try (RawSocketClient client = new RawSocketClient(port)) {
      client.send(requestToClose(cut.call(), id));
      received = client.read(READ_PAUSE_MS);
      connected = !client.isClosedByPeer();
    }
    final List<CutOffAttempt> attempts = endpoint.attempts(id);
    try {
      final Verdict verdict = new CutOffJudge(cut.call(), attempts).judge(received, connected);
      if (!attempts.isEmpty() && cut.isForwardable(id) && cut.call() != CutOffCall.RESUMED) {
        assertEquals(Verdict.WHOLE, verdict, received);
      }
      return verdict;
    } catch (AssertionError | RuntimeException e) {
      throw new AssertionError(cut + ": " + e.getMessage(), e);
    }
  }

  /** Guards against an answer that ends early and looks whole, as callers read it. */
  @Test
  void answerThatIsCutOffNeverLooksWhole() throws InterruptedException, ExecutionException {
    final List<Verdict> verdicts = new ArrayList<>();
    try (ExecutorService callers = Executors.newFixedThreadPool(CALLERS)) {
      final List<Future<Verdict>> running = new ArrayList<>();
      for (int number = 0; number < CASES; number++) {
        final String id = "cut-" + number;
        final CutOffCase cut = sample(id);
        running.add(callers.submit(() -> run(id, cut)));
      }
      for (final Future<Verdict> result : running) {
        verdicts.add(result.get());
      }
    }
    final long whole = verdicts.stream().filter(Verdict.WHOLE::equals).count();
    final long brokenOff = verdicts.stream().filter(Verdict.BROKEN_OFF::equals).count();
    assertEquals(CASES, verdicts.size());
    assertTrue(whole >= MIN_WHOLE, () -> "whole: " + whole);
    assertTrue(brokenOff >= MIN_BROKEN_OFF, () -> "broken off: " + brokenOff);
  }
}
