package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.demo.DemoAnswer;
import org.bulrushweir.demo.DemoCall;
import org.bulrushweir.demo.DemoCaller;
import org.bulrushweir.demo.DemoFleet;
import org.bulrushweir.platform.EndpointSide;
import org.bulrushweir.store.SharedTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a gateway before endpoints that write an earlier refusal once more. */
class RepeatedRefusalTest {

  private static final int BOOKINGS = 40;
  private static final int SERVICE_UNAVAILABLE = 503;
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

  private void register(final String name, final RepeatingEndpoint endpoint) {
    fleet
        .platform()
        .put(
            SharedTable.ENDPOINTS,
            name,
            EndpointSide.registration(
                DemoFleet.ORDERS,
                "127.0.0.1:" + endpoint.port(),
                new ZoneName("zone-1"),
                8,
                false,
                1));
  }

  private void awaitServed(final int port) throws InterruptedException {
    final long untilMs = System.currentTimeMillis() + WAIT_MS;
    int number = 0;
    while (!caller.send(port, DemoCall.lookup("ready-" + number)).served()) {
      assertTrue(System.currentTimeMillis() < untilMs, "the gateway must serve");
      Thread.sleep(POLL_MS);
      number++;
    }
  }

  /** Guards against a repeated refusal that is taken for one of the next request. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void refusalOfAnEarlierRequestProvesNothing(final boolean namesRequest)
      throws IOException, InterruptedException {
    try (RepeatingEndpoint first = new RepeatingEndpoint(namesRequest);
        RepeatingEndpoint second = new RepeatingEndpoint(namesRequest)) {
      register("orders-1", first);
      register("orders-2", second);
      final int port = fleet.startGateway("gateway-1").callersPort();
      awaitServed(port);
      int served = 0;
      for (int number = 0; number < BOOKINGS; number++) {
        final String id = "b" + number;
        final DemoAnswer answer = caller.send(port, DemoCall.booking(id));
        final int runs =
            List.of(first, second).stream()
                .mapToInt(endpoint -> endpoint.runs().getOrDefault(id, 0))
                .sum();
        assertTrue(runs <= 1, id + " ran " + runs + " times");
        if (answer.status() == SERVICE_UNAVAILABLE) {
          assertEquals(0, runs, id + " was reported as not run");
        }
        if (answer.served()) {
          assertEquals("answer to " + id, answer.body());
          served++;
        }
      }
      assertTrue(served >= BOOKINGS / 2, "bookings served: " + served);
    }
  }
}
