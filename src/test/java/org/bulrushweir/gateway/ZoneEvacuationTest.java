package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.demo.DemoAnswer;
import org.bulrushweir.demo.DemoCall;
import org.bulrushweir.demo.DemoCaller;
import org.bulrushweir.demo.DemoFleet;
import org.bulrushweir.platform.EvacuationDecoder;
import org.bulrushweir.standin.DirectEndpointStandIn;
import org.bulrushweir.standin.PlatformCopy;
import org.bulrushweir.standin.PlatformFaults;
import org.bulrushweir.standin.StandInStream;
import org.bulrushweir.store.SharedTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests a gateway over real sockets while operators evacuate a zone. */
class ZoneEvacuationTest {

  private static final String SETTINGS = "[zones]\nevacuation_ms = 5000\n";
  private static final ZoneName EVACUATED = new ZoneName("z0");
  private static final ZoneName OTHER = new ZoneName("z1");
  private static final long READY_MS = 4_000;

  /** The time within which a row should be in force, in milliseconds. */
  private static final long IN_FORCE_MS = 1_000;

  private static final PlatformFaults OUTAGE = new PlatformFaults(true, false, 0, 0, 0, false);

  private final Logger monitorLog = Logger.getLogger(EvacuationMonitor.class.getName());
  private final List<String> lines = new CopyOnWriteArrayList<>();
  private final Handler handler =
      new Handler() {
        @Override
        public void publish(final LogRecord line) {
          lines.add(line.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
      };
  private final DemoFleet fleet =
      new DemoFleet(new PrintStream(OutputStream.nullOutputStream()), 0);
  private final DemoCaller caller = new DemoCaller();
  private DirectEndpointStandIn orders1;
  private DirectEndpointStandIn orders2;
  private GatewayService gateway;

  @BeforeEach
  void start() throws InterruptedException {
    monitorLog.addHandler(handler);
    orders1 = fleet.startEndpoint("orders-1", DemoFleet.ORDERS, null);
    orders2 = fleet.startEndpoint("orders-2", DemoFleet.ORDERS, null);
    orders1.moveTo(EVACUATED);
    orders2.moveTo(OTHER);
    startGateway("gateway-1", SETTINGS);
  }

  @AfterEach
  void close() {
    caller.close();
    fleet.close();
    monitorLog.removeHandler(handler);
  }

  private void startGateway(final String name, final String settings) throws InterruptedException {
    gateway = fleet.startGateway(name, settings);
    final long untilMs = System.currentTimeMillis() + READY_MS;
    while (send(DemoCall.lookup("ready")).status() != 200 && System.currentTimeMillis() < untilMs) {
      Thread.sleep(20);
    }
  }

  private DemoAnswer send(final DemoCall call) {
    return caller.send(gateway.callersPort(), call);
  }

  private void evacuate(final ZoneName zone) throws InterruptedException {
    fleet.platform().put(SharedTable.CONFIGURATION, EvacuationDecoder.key(zone), "");
    Thread.sleep(IN_FORCE_MS);
  }

  private void takeBack(final ZoneName zone) throws InterruptedException {
    fleet.platform().put(SharedTable.CONFIGURATION, EvacuationDecoder.key(zone), null);
    Thread.sleep(IN_FORCE_MS);
  }

  private void sendBookings(final String prefix) {
    for (int number = 0; number < 20; number++) {
      assertEquals(200, send(DemoCall.booking(prefix + number)).status());
    }
  }

  private long runsInZone(final String prefix) {
    return orders1.runs().keySet().stream().filter(id -> id.startsWith(prefix)).count();
  }

  private boolean isLogged(final String text) {
    return lines.stream().anyMatch(line -> line.contains(text));
  }

  private String metrics() throws IOException {
    final URI page = URI.create("http://127.0.0.1:" + gateway.statusPort() + "/metrics");
    try (InputStream text = page.toURL().openStream()) {
      return new String(text.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  @Test
  void evacuatedZoneGetsNothingNewUntilTheRowIsRemoved() throws InterruptedException {
    evacuate(EVACUATED);
    sendBookings("e");
    assertEquals(0, runsInZone("e"));
    takeBack(EVACUATED);
    sendBookings("b");
    assertTrue(runsInZone("b") > 0, "the zone must be used again");
    assertTrue(isLogged("zone z0 is evacuated by the store's table"), "the log must tell");
    assertTrue(isLogged("zone z0 is no longer evacuated"), "the log must tell");
  }

  @Test
  void withoutTheSettingRowsHaveNoEffect() throws InterruptedException {
    startGateway("gateway-2", "");
    evacuate(EVACUATED);
    sendBookings("n");
    assertTrue(runsInZone("n") > 0);
  }

  @Test
  void serviceWithoutAnotherZoneIsRefusedAsNotRun() throws InterruptedException {
    orders2.moveTo(EVACUATED);
    evacuate(EVACUATED);
    final DemoAnswer answer = send(DemoCall.booking("r1"));
    assertEquals(503, answer.status());
    assertFalse(answer.retryAfter().isEmpty());
    assertTrue(answer.totalMs() < 500, "took " + answer.totalMs() + " ms");
    assertEquals(0, runsInZone("r"));
    assertTrue(isLogged("requests for services [orders] are refused as not run"));
  }

  /** Guards against an evacuation that ends, or begins late, because of the store. */
  @Test
  void storeThatIsAwayNeitherEndsNorLosesAnEvacuation() throws InterruptedException {
    evacuate(EVACUATED);
    fleet.platform().misbehaveAs(OUTAGE);
    Thread.sleep(3_000);
    sendBookings("a");
    assertEquals(0, runsInZone("a"));
    fleet.platform().put(SharedTable.CONFIGURATION, EvacuationDecoder.key(EVACUATED), null);
    fleet.platform().put(SharedTable.CONFIGURATION, EvacuationDecoder.key(OTHER), "");
    fleet.platform().misbehaveAs(new PlatformFaults(false, false, 0, 0, 0, true));
    Thread.sleep(IN_FORCE_MS);
    sendBookings("c");
    assertEquals(20, runsInZone("c"));
  }

  @Test
  void storeThatLostTheRowDoesNotEndTheEvacuation() throws InterruptedException {
    final PlatformCopy copy = fleet.platform().copy();
    evacuate(EVACUATED);
    fleet.platform().restore(copy);
    Thread.sleep(3_500);
    sendBookings("l");
    assertEquals(0, runsInZone("l"));
    // 5 s, a poll that started after them and one in which they passed.
    Thread.sleep(5_000);
    sendBookings("m");
    assertTrue(runsInZone("m") > 0, "the row stays missing");
  }

  /** Guards against requests that a gateway serves before it knows which zones are evacuated. */
  @Test
  void gatewayThatStartsKnowsTheZoneBeforeItsFirstRequest() throws InterruptedException {
    evacuate(EVACUATED);
    fleet.platform().misbehaveAs(new PlatformFaults(false, false, 300, 0, 0, false));
    gateway = fleet.startGateway("gateway-2", SETTINGS);
    sendBookings("s");
    assertEquals(0, runsInZone("s"));
  }

  /** A stream that runs in the zone ends there; the next one of its chat goes elsewhere. */
  @Test
  void runningStreamFinishesInTheZone() throws InterruptedException, IOException {
    final StandInStream slow = new StandInStream(30, 5, 100);
    final DirectEndpointStandIn engine1 =
        fleet.startEndpoint("engine-1", DemoFleet.ASSISTANT, slow);
    engine1.moveTo(EVACUATED);
    Thread.sleep(IN_FORCE_MS);
    final CompletableFuture<DemoAnswer> running =
        CompletableFuture.supplyAsync(() -> send(DemoCall.review("r1", 1)));
    Thread.sleep(300);
    final DirectEndpointStandIn engine2 =
        fleet.startEndpoint("engine-2", DemoFleet.ASSISTANT, new StandInStream(3, 5, 5));
    engine2.moveTo(OTHER);
    evacuate(EVACUATED);
    assertFalse(running.isDone());
    assertTrue(isLogged("1 requests of this gateway finish there"));
    final String metrics = metrics();
    assertTrue(metrics.contains("bulrushweir_gateway_evacuated_zones 1.0"), metrics);
    assertTrue(metrics.contains("bulrushweir_gateway_evacuated_zone_requests 1.0"), metrics);
    assertEquals(200, send(DemoCall.review("r2", 1)).status());
    assertEquals(1, engine2.runs().getOrDefault("r2", 0));
    assertTrue(running.join().body().contains("part 29"), "the running stream must be complete");
    assertEquals(1, engine1.runs().size());
  }
}
