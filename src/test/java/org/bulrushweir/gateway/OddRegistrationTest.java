package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.demo.DemoCall;
import org.bulrushweir.demo.DemoCaller;
import org.bulrushweir.demo.DemoFleet;
import org.bulrushweir.platform.EndpointSide;
import org.bulrushweir.standin.DirectEndpointStandIn;
import org.bulrushweir.store.SharedTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests a gateway whose store holds an entry of another writer among the registrations. */
class OddRegistrationTest {

  private static final String PROPER =
      EndpointSide.registration(
          DemoFleet.ASSISTANT, "127.0.0.1:9", new ZoneName("zone-1"), 8, false, 1_700_000_000_000L);
  private static final int DEPTH = 20_000;
  private static final int DIGITS = 5_000;
  private static final long WAIT_MS = 4_000;
  private static final long POLL_MS = 20;

  private final DemoFleet fleet =
      new DemoFleet(new PrintStream(OutputStream.nullOutputStream()), 0);
  private final DemoCaller caller = new DemoCaller();

  @AfterEach
  void close() {
    caller.close();
    fleet.close();
  }

  private static String nested(final int depth) {
    return "[".repeat(depth) + "]".repeat(depth);
  }

  /** Returns entries that name no endpoint. */
  static List<String> oddEntries() {
    return List.of(
        PROPER.replace("127.0.0.1:9", "127.0.0.1:0"),
        PROPER.replace("127.0.0.1:9", "127.0.0.1:65536"),
        PROPER.replace("127.0.0.1:9", "127.0.0.1:99999999999"),
        PROPER.replace("127.0.0.1:9", "[fe80::1%25eth0]:80"),
        PROPER.replace("127.0.0.1:9", "[fe80::1%eth0]:80"),
        PROPER.replace("\"slots\":8", "\"slots\":1e999999999"),
        PROPER.replace("\"slots\":8", "\"slots\":" + "9".repeat(DIGITS)),
        PROPER.replace("\"sequence\":1", "\"sequence\":-" + "9".repeat(30)),
        PROPER.replace("1700000000000", "1e999999999"),
        PROPER.replace("1700000000000", Long.toString(Long.MAX_VALUE)),
        PROPER.replace("zone-1", ""),
        PROPER.replace("127.0.0.1:9", ""),
        PROPER.replace("\"slots\":8", "\"slots\":" + nested(900)),
        nested(DEPTH),
        "{\"service\":".repeat(DEPTH),
        "",
        "null",
        "no JSON at all");
  }

  private boolean isServedSoon(final int port, final String id) throws InterruptedException {
    final long untilMs = System.currentTimeMillis() + WAIT_MS;
    int number = 0;
    while (System.currentTimeMillis() < untilMs) {
      number++;
      if (caller.send(port, DemoCall.lookup(id + '-' + number)).served()) {
        return true;
      }
      Thread.sleep(POLL_MS);
    }
    return false;
  }

  /**
   * Guards against gateways that end, or stop following the table, because of one entry: it stands
   * there before a gateway starts, and is written again while the gateway runs.
   */
  @ParameterizedTest
  @MethodSource("oddEntries")
  void otherEndpointsAreUsedAndFollowed(final String odd) throws InterruptedException {
    fleet.platform().put(SharedTable.ENDPOINTS, "odd-1", odd);
    final DirectEndpointStandIn first = fleet.startEndpoint("orders-1", DemoFleet.ORDERS, null);
    final int port = fleet.startGateway("gateway-1").callersPort();
    assertTrue(isServedSoon(port, "a"), "endpoints beside the odd entry must be used");
    fleet.platform().put(SharedTable.ENDPOINTS, "odd-2", odd);
    fleet.platform().put(SharedTable.ENDPOINTS, "orders-1", null);
    final DirectEndpointStandIn second = fleet.startEndpoint("orders-2", DemoFleet.ORDERS, null);
    Thread.sleep(500);
    assertTrue(isServedSoon(port, "b"), "endpoints behind the odd entry must be used");
    assertEquals(0, first.runs().keySet().stream().filter(id -> id.startsWith("b")).count());
    assertTrue(second.runs().keySet().stream().anyMatch(id -> id.startsWith("b")));
  }
}
