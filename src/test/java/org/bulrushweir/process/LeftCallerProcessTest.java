package org.bulrushweir.process;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.demo.DemoCall;
import org.bulrushweir.demo.DemoCaller;
import org.bulrushweir.demo.DemoFleet;
import org.bulrushweir.gateway.LeavingCallers;
import org.bulrushweir.gateway.TimedOrders;
import org.bulrushweir.kernel.SystemClock;
import org.bulrushweir.platform.EndpointSide;
import org.bulrushweir.platform.RoutingPlanDecoder;
import org.bulrushweir.standin.PlatformStandIn;
import org.bulrushweir.store.SharedTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that a gateway process which starts or stands still does not work for callers that left.
 */
class LeftCallerProcessTest {

  private static final long SEED = 43;
  private static final int ROUNDS = 4;
  private static final int CALLERS = 40;
  private static final long STANDSTILL_MS = 1_000;
  private static final int SLOTS = 400;
  private static final int POLL_MS = 5;

  private final Random random = new Random(SEED);
  private final DemoCaller caller = new DemoCaller();
  @TempDir private Path directory;
  private PlatformStandIn platform;
  private TimedOrders endpoint;

  @BeforeEach
  void start() throws IOException {
    platform = new PlatformStandIn("127.0.0.1", 0, new SystemClock(), 0);
    platform.put(
        SharedTable.CONFIGURATION,
        RoutingPlanDecoder.ROW_KEY,
        LeavingCallers.patientConfiguration());
    endpoint = new TimedOrders(true);
    platform.put(
        SharedTable.ENDPOINTS,
        "orders-1",
        EndpointSide.registration(
            DemoFleet.ORDERS,
            "127.0.0.1:" + endpoint.port(),
            new ZoneName("zone-1"),
            SLOTS,
            false,
            1));
  }

  @AfterEach
  void close() throws IOException {
    endpoint.close();
    platform.close();
    caller.close();
  }

  /** Guards against requests that are passed on after their callers have gone (GONE). */
  @Test
  void processThatStoodStillPassesOnNoRequestOfCallersThatLeft() throws Exception {
    final List<String> late = new ArrayList<>();
    final List<String> wrong = new ArrayList<>();
    try (DeployedGateway gateway = new DeployedGateway(directory, platform.port())) {
      Waiting.until(() -> caller.send(gateway.callersPort(), DemoCall.lookup("ready")).served());
      for (int round = 0; round < ROUNDS; round++) {
        gateway.signal("STOP");
        final long endMs = System.currentTimeMillis() + STANDSTILL_MS;
        try (LeavingCallers callers =
            new LeavingCallers(gateway.callersPort(), "left-" + round, CALLERS, random)) {
          callers.sendAndLeave();
          Thread.sleep(Math.max(0, endMs - System.currentTimeMillis()));
          gateway.signal("CONT");
          wrong.addAll(callers.wrongAnswers());
          late.addAll(callers.late(List.of(endpoint)));
        }
      }
    }
    assertAll(
        () -> assertEquals(List.of(), late, "requests passed on after their callers had left"),
        () -> assertEquals(List.of(), wrong, "answers to callers that are still there"));
  }

  /** Guards against requests of callers that left while a gateway started (GONE). */
  @Test
  void processThatStartsPassesOnNoRequestOfCallersThatLeft() throws Exception {
    final int port = FreePort.find();
    final CompletableFuture<LeavingCallers> leaving =
        CompletableFuture.supplyAsync(() -> sendOnceBound(port));
    try (DeployedGateway gateway = new DeployedGateway(directory, platform.port(), port);
        LeavingCallers callers = leaving.join()) {
      Waiting.until(() -> caller.send(gateway.callersPort(), DemoCall.lookup("ready")).served());
      assertEquals(List.of(), callers.late(List.of(endpoint)));
    }
  }

  /** Sends requests as soon as the process has bound its port, long before it serves. */
  private LeavingCallers sendOnceBound(final int port) {
    while (!isBound(port)) {
      sleep(POLL_MS);
    }
    try {
      final LeavingCallers callers = new LeavingCallers(port, "early", CALLERS, random);
      callers.sendAndLeave();
      return callers;
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static boolean isBound(final int port) {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      return socket.isConnected();
    } catch (IOException e) {
      return false;
    }
  }

  private static void sleep(final long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
