package org.bulrushweir.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.demo.DemoAnswer;
import org.bulrushweir.demo.DemoCall;
import org.bulrushweir.demo.DemoCaller;
import org.bulrushweir.demo.DemoFleet;
import org.bulrushweir.gateway.EndlessBytes;
import org.bulrushweir.gateway.EndlessCacheList;
import org.bulrushweir.gateway.EndlessEndpoint;
import org.bulrushweir.kernel.SystemClock;
import org.bulrushweir.platform.EndpointSide;
import org.bulrushweir.platform.ExampleConfiguration;
import org.bulrushweir.platform.RoutingPlanDecoder;
import org.bulrushweir.standin.DirectEndpointStandIn;
import org.bulrushweir.standin.PlatformStandIn;
import org.bulrushweir.store.SharedTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Many endpoints send bytes without end to one gateway process, which has the memory of the deploy
 * file. It must go on serving the callers of sound endpoints.
 */
class EndlessBytesProcessTest {

  private static final ServiceName FAULTY = new ServiceName("stock");
  private static final String FAULTY_HOST = "stock.example";
  private static final String FAULTY_ROUTE =
      """
      "routes": [
        {"name": "stock", "host": "stock.example", "prefix": "/stock/", "kind": "unsafe",
         "timeout_ms": 1200, "target_latency_ms": 150, "priority": 2, "service": "stock",
         "max_attempts": 1, "public": false, "sticky": false, "resumable": false},
      """;
  private static final String FAULTY_SERVICE =
      """
      "services": [
        {"name": "stock", "health_path": "/health", "max_connections": 100, "protocol": "h1",
         "tls": false},
      """;

  private static final int ENDPOINTS_OF_A_KIND = 2;
  private static final int ENGINES = 60;
  private static final int SOUND_CALLERS = 4;
  private static final int FAULTY_CALLERS = 32;
  private static final long LOAD_MS = 6_000;
  private static final long PATIENCE_MS = 1_000;
  private static final long MAX_OPEN_MS = 2_500;

  /** The heap of the deploy file and what a JVM needs besides. */
  private static final long MAX_PEAK_KILOBYTES = 220_000;

  private final DemoCaller caller = new DemoCaller();
  private final List<EndlessEndpoint> faulty = new ArrayList<>();
  private final AtomicInteger requests = new AtomicInteger();
  @TempDir private Path directory;
  private PlatformStandIn platform;
  private DirectEndpointStandIn sound;
  private DeployedGateway gateway;

  @BeforeEach
  void start() throws Exception {
    platform = new PlatformStandIn("127.0.0.1", 0, new SystemClock(), 0);
    platform.put(
        SharedTable.CONFIGURATION,
        RoutingPlanDecoder.ROW_KEY,
        ExampleConfiguration.text(1)
            .replace("\"routes\": [", FAULTY_ROUTE)
            .replace("\"services\": [", FAULTY_SERVICE));
    sound = new DirectEndpointStandIn(platform, new EndpointId("orders-1"), DemoFleet.ORDERS, null);
  }

  private void startGateway() throws Exception {
    gateway = new DeployedGateway(directory, platform.port());
    Waiting.until(() -> lookUp().served());
  }

  @AfterEach
  void close() throws Exception {
    gateway.close();
    for (final EndlessEndpoint endpoint : faulty) {
      endpoint.close();
    }
    sound.close();
    platform.close();
    caller.close();
  }

  private void startFaultyEndpoints() throws IOException {
    for (final EndlessBytes bytes : EndlessBytes.values()) {
      for (int number = 0; number < ENDPOINTS_OF_A_KIND; number++) {
        final EndlessEndpoint endpoint = new EndlessEndpoint(bytes);
        faulty.add(endpoint);
        final boolean stream = bytes.place() == EndlessBytes.Place.STREAM;
        platform.put(
            SharedTable.ENDPOINTS,
            bytes.name() + "-" + number,
            EndpointSide.registration(
                stream ? DemoFleet.ASSISTANT : FAULTY,
                "127.0.0.1:" + endpoint.port(),
                new ZoneName("zone-1"),
                8,
                false,
                1));
      }
    }
  }

  private DemoAnswer lookUp() {
    return caller.send(gateway.callersPort(), DemoCall.lookup("l" + requests.incrementAndGet()));
  }

  /** Sends a request to a faulty service; reads the response to its end or not at all. */
  private void callFaulty(final boolean stream, final boolean reads) {
    final String id = "f" + requests.incrementAndGet();
    final StringBuilder text = new StringBuilder();
    text.append(stream ? "POST /draft/1" : "POST /stock/1").append(" HTTP/1.1\r\n");
    text.append("Host: ").append(stream ? DemoCall.CHAT_HOST : FAULTY_HOST).append("\r\n");
    text.append("Authorization: Bearer " + DemoCall.KEY + "\r\nContent-Length: 0\r\n");
    EndpointSide.callerHeaders(
        (name, value) -> text.append(name + ": " + value + "\r\n"),
        id,
        PATIENCE_MS,
        stream ? DemoCall.draft(id, 1).promptParts() : "");
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), gateway.callersPort())) {
      socket
          .getOutputStream()
          .write(text.append("\r\n").toString().getBytes(StandardCharsets.US_ASCII));
      if (reads) {
        readUntil(socket.getInputStream(), System.currentTimeMillis() + 2 * PATIENCE_MS);
      } else {
        Thread.sleep(PATIENCE_MS);
      }
    } catch (IOException e) {
      // A response without end is ended by closing the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void readUntil(final InputStream input, final long untilMs) throws IOException {
    final byte[] piece = new byte[65_536];
    while (System.currentTimeMillis() < untilMs && input.read(piece) >= 0) {
      // Drops what was read.
    }
  }

  private Thread repeatedly(final long untilMs, final Runnable task) {
    return Thread.ofVirtual()
        .start(
            () -> {
              while (System.currentTimeMillis() < untilMs) {
                task.run();
              }
            });
  }

  private int openConnections() {
    return faulty.stream().mapToInt(EndlessEndpoint::openConnections).sum();
  }

  /** Guards against a process that ends, or stops serving, since endpoints send without end. */
  @Test
  void endlessBytesDoNotEndTheProcessOrTheRequestsOfOtherCallers() throws Exception {
    startFaultyEndpoints();
    startGateway();
    final Queue<DemoAnswer> answers = new ConcurrentLinkedQueue<>();
    final long untilMs = System.currentTimeMillis() + LOAD_MS;
    final List<Thread> threads = new ArrayList<>();
    for (int number = 0; number < FAULTY_CALLERS; number++) {
      final boolean stream = number % 4 == 0;
      final boolean reads = number % 3 == 0;
      threads.add(repeatedly(untilMs, () -> callFaulty(stream, reads)));
    }
    for (int number = 0; number < SOUND_CALLERS; number++) {
      threads.add(repeatedly(untilMs, () -> answers.add(lookUp())));
    }
    for (final Thread thread : threads) {
      thread.join();
    }
    final long sent = faulty.stream().mapToLong(EndlessEndpoint::written).sum();
    final long reached = faulty.stream().filter(endpoint -> endpoint.requests() > 0).count();
    System.out.printf(
        "%d requests of other callers, the slowest in %d ms; %d MB sent by %d of %d faulty"
            + " endpoints, peak %d kB%n",
        answers.size(),
        answers.stream().mapToLong(DemoAnswer::totalMs).max().orElse(0),
        sent >> 20,
        reached,
        faulty.size(),
        gateway.peakKilobytes());
    assertEquals(List.of(), answers.stream().filter(answer -> !answer.served()).limit(3).toList());
    assertFalse(gateway.logText().contains("OutOfMemoryError"), gateway.logText());
    final long closedByMs = System.currentTimeMillis() + MAX_OPEN_MS;
    while (openConnections() > 0 && System.currentTimeMillis() < closedByMs) {
      Thread.sleep(20);
    }
    assertEquals(0, openConnections(), "connections to faulty endpoints that stay open");
    assertTrue(lookUp().served());
    assertTrue(gateway.peakKilobytes() <= MAX_PEAK_KILOBYTES, gateway.peakKilobytes() + " kB");
  }

  /** Guards against a restarted process that ends since engines send lists without end. */
  @Test
  void endlessCacheListsOfManyEnginesDoNotEndTheProcess() throws Exception {
    final List<EndlessCacheList> engines = new ArrayList<>();
    try {
      for (int number = 0; number < ENGINES; number++) {
        final String host = "127.0.0." + (2 + number);
        final EndlessCacheList engine =
            new EndlessCacheList(InetAddress.getByName(host), EndlessCacheList.Kind.LIST);
        engines.add(engine);
        platform.put(
            SharedTable.ENDPOINTS,
            "engine-" + number,
            EndpointSide.registration(
                DemoFleet.ASSISTANT,
                host + ":" + engine.port(),
                new ZoneName("zone-1"),
                8,
                false,
                1));
      }
      startGateway();
      Waiting.until(
          () ->
              gateway.logText().contains("OutOfMemoryError")
                  || engines.stream()
                      .allMatch(engine -> engine.requests() > 0 && engine.openConnections() == 0));
      System.out.printf(
          "%d MB sent by %d engines, peak %d kB%n",
          engines.stream().mapToLong(EndlessCacheList::written).sum() >> 20,
          engines.size(),
          gateway.peakKilobytes());
      assertFalse(gateway.logText().contains("OutOfMemoryError"), gateway.logText());
      assertTrue(lookUp().served());
      assertTrue(gateway.peakKilobytes() <= MAX_PEAK_KILOBYTES, gateway.peakKilobytes() + " kB");
    } finally {
      for (final EndlessCacheList engine : engines) {
        engine.close();
      }
    }
  }
}
