package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.demo.DemoCall;
import org.bulrushweir.demo.DemoCaller;
import org.bulrushweir.demo.DemoFleet;
import org.bulrushweir.platform.EndpointSide;
import org.bulrushweir.platform.ExampleConfiguration;
import org.bulrushweir.standin.DirectEndpointStandIn;
import org.bulrushweir.store.SharedTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests gateways over real sockets before a warm endpoint and one that becomes cold. */
class ColdEndpointSocketTest {

  private static final int BOUND = 27;

  /** The time until all gateways know their peers and use their shares, in milliseconds. */
  private static final long JOIN_MS = 4_000;

  private static final long LOAD_MS = 6_000;
  private static final long PAUSE_MS = 8;

  private final DemoFleet fleet =
      new DemoFleet(new PrintStream(OutputStream.nullOutputStream()), 0);
  private final DemoCaller caller = new DemoCaller();
  private final AtomicInteger failed = new AtomicInteger();

  @AfterEach
  void close() {
    caller.close();
    fleet.close();
  }

  private void registerAsCold(final DirectEndpointStandIn endpoint) {
    fleet
        .platform()
        .put(
            SharedTable.ENDPOINTS,
            "orders-1",
            EndpointSide.registration(
                    DemoFleet.ORDERS,
                    "127.0.0.1:" + endpoint.port(),
                    new ZoneName("zone-1"),
                    8,
                    false,
                    endpoint.startedAtMs())
                .replace("cold_remaining_ms\":0", "cold_remaining_ms\":60000"));
  }

  private void send(final GatewayService gateway, final int number) {
    Thread.ofVirtual()
        .start(
            () -> {
              if (!caller.send(gateway.callersPort(), DemoCall.lookup("r" + number)).served()) {
                failed.incrementAndGet();
              }
            });
  }

  /** Guards against gateways that each send as much as all of them together may. */
  @Test
  void coldEndpointGetsWhatTheBoundAllowsAndTheWarmOneTheRest() throws InterruptedException {
    fleet.configure(
        ExampleConfiguration.text(2)
            .replace("\"tls\": false}\n", "\"tls\": false, \"cold_per_s\": 15}\n"));
    final DirectEndpointStandIn cold = fleet.startEndpoint("orders-1", DemoFleet.ORDERS, null);
    fleet.startEndpoint("orders-2", DemoFleet.ORDERS, null);
    final List<GatewayService> gateways = new ArrayList<>();
    for (int number = 1; number <= 3; number++) {
      gateways.add(fleet.startGateway("gateway-" + number, "[cold]\novershoot = 1.5\nslack = 5"));
    }
    registerAsCold(cold);
    Thread.sleep(JOIN_MS);
    final List<long[]> samples = new ArrayList<>();
    final long endMs = System.currentTimeMillis() + LOAD_MS;
    for (int number = 0; System.currentTimeMillis() < endMs; number++) {
      send(gateways.get(number % gateways.size()), number);
      Thread.sleep(PAUSE_MS);
      samples.add(new long[] {System.currentTimeMillis(), cold.runs().size()});
    }
    int most = 0;
    for (final long[] from : samples) {
      for (final long[] until : samples) {
        if (until[0] >= from[0] && until[0] - from[0] < 1_000) {
          most = Math.max(most, (int) (until[1] - from[1]));
        }
      }
    }
    assertTrue(most <= BOUND, most + " requests in a second");
    assertTrue(most >= BOUND / 3, most + " requests in a second");
    assertTrue(failed.get() == 0, failed + " requests were not served");
  }
}
