package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.demo.DemoAnswer;
import org.bulrushweir.demo.DemoCall;
import org.bulrushweir.demo.DemoCaller;
import org.bulrushweir.demo.DemoFleet;
import org.bulrushweir.platform.EndpointSide;
import org.bulrushweir.standin.DirectEndpointStandIn;
import org.bulrushweir.standin.StandInStream;
import org.bulrushweir.store.SharedTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A faulty endpoint sends bytes until the gateway closes the connection. The gateway must close it
 * soon, keep little of the bytes and serve other requests meanwhile.
 */
class EndlessBytesTest {

  /** Socket buffers on both sides hold several megabytes. */
  private static final long MAX_WRITTEN_BYTES = 32L << 20;

  private static final long MAX_ANSWER_S = 10;
  private static final long MAX_OPEN_MS = 2_500;
  private static final long POLL_MS = 20;

  private final DemoFleet fleet =
      new DemoFleet(new PrintStream(OutputStream.nullOutputStream()), 0);
  private final DemoCaller caller = new DemoCaller();
  private GatewayService gateway;

  @BeforeEach
  void start() {
    gateway = fleet.startGateway("gateway-1");
  }

  @AfterEach
  void close() {
    caller.close();
    fleet.close();
  }

  private void register(final String id, final ServiceName service, final int port) {
    fleet
        .platform()
        .put(
            SharedTable.ENDPOINTS,
            id,
            EndpointSide.registration(
                service, "127.0.0.1:" + port, new ZoneName("zone-1"), 8, false, 1));
  }

  private void awaitRequest(final EndlessEndpoint endpoint) throws InterruptedException {
    final long untilMs = System.currentTimeMillis() + TimeUnit.SECONDS.toMillis(MAX_ANSWER_S);
    while (endpoint.requests() == 0 && System.currentTimeMillis() < untilMs) {
      Thread.sleep(POLL_MS);
    }
    assertTrue(endpoint.requests() > 0, "the endpoint received no request");
  }

  private void awaitClosed(final EndlessEndpoint endpoint) throws InterruptedException {
    final long untilMs = System.currentTimeMillis() + MAX_OPEN_MS;
    while (endpoint.openConnections() > 0 && System.currentTimeMillis() < untilMs) {
      Thread.sleep(POLL_MS);
    }
    assertEquals(0, endpoint.openConnections(), "connections that the gateway keeps open");
    assertTrue(endpoint.written() <= MAX_WRITTEN_BYTES, "bytes sent: " + endpoint.written());
  }

  private CompletableFuture<DemoAnswer> sendAsync(final DemoCall call) {
    return CompletableFuture.supplyAsync(() -> caller.send(gateway.callersPort(), call));
  }

  /** Sends bookings until the first one reaches the endpoint, which is read from the store. */
  private CompletableFuture<DemoAnswer> bookAt(final EndlessEndpoint endpoint)
      throws InterruptedException {
    int number = 0;
    CompletableFuture<DemoAnswer> answer = sendAsync(DemoCall.booking("b0"));
    while (endpoint.requests() == 0 && number < 100) {
      Thread.sleep(POLL_MS);
      if (answer.isDone()) {
        number++;
        answer = sendAsync(DemoCall.booking("b" + number));
      }
    }
    awaitRequest(endpoint);
    return answer;
  }

  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "EVENT")
  void connectionIsClosedSoonAndTheCallerGetsNoSuccess(final EndlessEndpoint.Kind kind)
      throws Exception {
    try (EndlessEndpoint endpoint = new EndlessEndpoint(kind)) {
      register("orders-1", DemoFleet.ORDERS, endpoint.port());
      final CompletableFuture<DemoAnswer> answer = bookAt(endpoint);
      awaitClosed(endpoint);
      final int status = answer.get(MAX_ANSWER_S, TimeUnit.SECONDS).status();
      assertTrue(status == 502 || status == 503, "status " + status);
    }
  }

  @Test
  void eventWithoutEndIsGivenUpAndTheStreamGoesOnElsewhere() throws Exception {
    try (EndlessEndpoint endpoint = new EndlessEndpoint(EndlessEndpoint.Kind.EVENT)) {
      // Registered first: the gateway reads registrations in their order.
      final DirectEndpointStandIn sound =
          fleet.startEndpoint("orders-1", DemoFleet.ORDERS, (StandInStream) null);
      register("engine-1", DemoFleet.ASSISTANT, endpoint.port());
      int number = 0;
      CompletableFuture<DemoAnswer> answer = sendAsync(DemoCall.draft("d0", 1));
      while (endpoint.requests() == 0 && number < 100) {
        Thread.sleep(POLL_MS);
        if (answer.isDone()) {
          number++;
          answer = sendAsync(DemoCall.draft("d" + number, 1));
        }
      }
      awaitRequest(endpoint);
      awaitClosed(endpoint);
      assertTrue(answer.get(MAX_ANSWER_S, TimeUnit.SECONDS).status() != 200);
      assertTrue(caller.send(gateway.callersPort(), DemoCall.lookup("l1")).served());
      assertTrue(sound.runs().containsKey("l1"));
    }
  }
}
