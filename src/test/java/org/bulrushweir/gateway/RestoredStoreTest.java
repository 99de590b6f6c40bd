package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;
import org.bulrushweir.demo.DemoCall;
import org.bulrushweir.demo.DemoCaller;
import org.bulrushweir.demo.DemoFleet;
import org.bulrushweir.platform.ExampleConfiguration;
import org.bulrushweir.standin.DirectEndpointStandIn;
import org.bulrushweir.standin.EndpointFault;
import org.bulrushweir.standin.PlatformCopy;
import org.bulrushweir.standin.PlatformFaults;
import org.bulrushweir.store.SharedTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests a gateway whose store is away for a moment and comes back from an older copy. */
class RestoredStoreTest {

  private static final long AWAY_MS = 300;
  private static final long READY_MS = 4_000;
  private static final long POLL_MS = 50;

  /** Less than the time for which a lapsed registration stays listed, in milliseconds. */
  private static final long SOON_MS = 400;

  /** The time within which a confirmed change must be in force, in milliseconds. */
  private static final long IN_FORCE_MS = 2_000;

  private static final String KEY = "key-of-dispatch";

  private final DemoFleet fleet =
      new DemoFleet(new PrintStream(OutputStream.nullOutputStream()), 0);
  private final DemoCaller caller = new DemoCaller();
  private DirectEndpointStandIn orders1;
  private DirectEndpointStandIn orders2;
  private GatewayService gateway;

  @BeforeEach
  void start() throws InterruptedException {
    orders1 = fleet.startEndpoint("orders-1", DemoFleet.ORDERS, null);
    orders2 = fleet.startEndpoint("orders-2", DemoFleet.ORDERS, null);
    gateway = fleet.startGateway("gateway-1");
    awaitReady();
  }

  private void awaitReady() throws InterruptedException {
    final long untilMs = System.currentTimeMillis() + READY_MS;
    while (status(DemoCall.lookup("ready")) != 200 && System.currentTimeMillis() < untilMs) {
      Thread.sleep(POLL_MS);
    }
    assertEquals(200, status(DemoCall.lookup("ready")));
  }

  @AfterEach
  void close() {
    caller.close();
    fleet.close();
  }

  private int status(final DemoCall call) {
    return caller.send(gateway.callersPort(), call).status();
  }

  private void restore(final PlatformCopy copy) throws InterruptedException {
    fleet.platform().misbehaveAs(new PlatformFaults(true, false, 0, 0, 0, false));
    Thread.sleep(AWAY_MS);
    fleet.platform().restore(copy);
    fleet.platform().misbehaveAs(PlatformFaults.NONE);
  }

  private void configure(final long version, final String key) {
    fleet.configure(ExampleConfiguration.text(version).replace(KEY, key));
  }

  private static DemoCall unknownRoute(final String id) {
    return new DemoCall(id, DemoCall.CHAT_HOST, "/new/", DemoCall.KEY, "", "");
  }

  @Test
  void configurationConfirmedAfterRestorationIsInForceInTime() throws InterruptedException {
    final PlatformCopy copy = fleet.platform().copy();
    configure(2, KEY);
    Thread.sleep(IN_FORCE_MS);
    restore(copy);
    Thread.sleep(IN_FORCE_MS);
    configure(3, "another-key");
    Thread.sleep(IN_FORCE_MS);
    assertEquals(401, status(DemoCall.booking("b1")));
  }

  /** Guards against a number that the restored store gives out again without any effect. */
  @Test
  void otherConfigurationUnderTheNumberInForceIsApplied() throws InterruptedException {
    final PlatformCopy copy = fleet.platform().copy();
    configure(2, KEY);
    Thread.sleep(IN_FORCE_MS);
    restore(copy);
    Thread.sleep(IN_FORCE_MS);
    configure(2, "another-key");
    Thread.sleep(IN_FORCE_MS);
    assertEquals(401, status(DemoCall.booking("b1")));
  }

  @Test
  void withdrawnKeyOfTheOlderConfigurationStaysWithdrawn() throws InterruptedException {
    final PlatformCopy copy = fleet.platform().copy();
    configure(2, "another-key");
    Thread.sleep(IN_FORCE_MS);
    assertEquals(401, status(DemoCall.booking("b1")));
    restore(copy);
    for (int number = 0; number < 20; number++) {
      final int status = status(DemoCall.booking("w" + number));
      assertTrue(status == 401 || status == 503, "status " + status);
      Thread.sleep(POLL_MS);
    }
    assertEquals(Map.of(), runsOf("w"));
  }

  private Map<String, Integer> runsOf(final String prefix) {
    final Map<String, Integer> runs = new HashMap<>();
    for (final DirectEndpointStandIn endpoint : fleet.endpoints().values()) {
      endpoint.runs().forEach((id, count) -> runs.merge(id, count, Integer::sum));
    }
    runs.keySet().removeIf(id -> !id.startsWith(prefix));
    return runs;
  }

  @Test
  void routeUnknownToAnOlderStoreIsRefusedOnlyTemporarily() throws InterruptedException {
    final PlatformCopy copy = fleet.platform().copy();
    configure(2, KEY);
    Thread.sleep(IN_FORCE_MS);
    restore(copy);
    Thread.sleep(IN_FORCE_MS);
    assertEquals(503, status(unknownRoute("u1")));
    configure(2, KEY);
    Thread.sleep(IN_FORCE_MS);
    assertEquals(404, status(unknownRoute("u2")));
  }

  @Test
  void gatewayThatStartsOnAnOlderStoreRefusesUnknownRoutesOnlyTemporarily()
      throws InterruptedException {
    final PlatformCopy copy = fleet.platform().copy();
    configure(2, KEY);
    Thread.sleep(IN_FORCE_MS);
    restore(copy);
    gateway = fleet.startGateway("gateway-2");
    Thread.sleep(IN_FORCE_MS);
    assertEquals(503, status(unknownRoute("u1")));
    configure(2, KEY);
    awaitReady();
    assertEquals(404, status(unknownRoute("u2")));
  }

  @Test
  void withdrawnKeyIsNotInUseAgainAtGatewayThatStartsOnAnOlderStore() throws InterruptedException {
    final PlatformCopy copy = fleet.platform().copy();
    configure(2, "another-key");
    Thread.sleep(IN_FORCE_MS);
    assertEquals(401, status(DemoCall.booking("b1")));
    restore(copy);
    gateway = fleet.startGateway("gateway-2");
    Thread.sleep(IN_FORCE_MS);
    assertEquals(503, status(DemoCall.booking("w1")));
    assertEquals(Map.of(), runsOf("w"));
    configure(2, "another-key");
    Thread.sleep(IN_FORCE_MS);
    assertEquals(401, status(DemoCall.booking("w2")));
  }

  private void assertNoRequestsAtFirstEndpoint() throws InterruptedException {
    for (int number = 0; number < 20; number++) {
      assertEquals(200, status(DemoCall.booking("n" + number)));
      Thread.sleep(POLL_MS);
    }
    assertEquals(20, orders2.runs().keySet().stream().filter(id -> id.startsWith("n")).count());
  }

  @Test
  void endpointThatWasDrainingGetsNoRequestsAfterRestoration() throws InterruptedException {
    final PlatformCopy copy = fleet.platform().copy();
    orders1.register(true);
    Thread.sleep(IN_FORCE_MS);
    restore(copy);
    Thread.sleep(IN_FORCE_MS);
    assertNoRequestsAtFirstEndpoint();
  }

  @Test
  void endpointThatHasLeftGetsNoRequestsAfterRestoration() throws InterruptedException {
    final PlatformCopy copy = fleet.platform().copy();
    fleet.platform().put(SharedTable.ENDPOINTS, "orders-1", null);
    Thread.sleep(IN_FORCE_MS);
    restore(copy);
    Thread.sleep(IN_FORCE_MS);
    assertNoRequestsAtFirstEndpoint();
  }

  @Test
  void endpointThatRegisteredAfterTheCopyStaysInUse() throws InterruptedException {
    final PlatformCopy copy = fleet.platform().copy();
    final DirectEndpointStandIn orders3 = fleet.startEndpoint("orders-3", DemoFleet.ORDERS, null);
    Thread.sleep(IN_FORCE_MS);
    restore(copy);
    Thread.sleep(SOON_MS);
    orders1.misbehaveAs(EndpointFault.SHED);
    orders2.misbehaveAs(EndpointFault.SHED);
    assertEquals(200, status(DemoCall.booking("k1")));
    assertEquals(Map.of("k1", 1), orders3.runs());
  }

  @Test
  void gatewayRegistersAgainAfterRestoration() throws InterruptedException {
    final PlatformCopy copy = fleet.platform().copy();
    fleet.startGateway("gateway-2");
    Thread.sleep(IN_FORCE_MS);
    restore(copy);
    Thread.sleep(IN_FORCE_MS);
    assertTrue(
        fleet.platform().copy().tables().values().stream()
            .anyMatch(rows -> rows.containsKey("gateway-2")));
  }
}
