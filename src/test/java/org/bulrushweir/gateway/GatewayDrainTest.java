package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.demo.DemoCall;
import org.bulrushweir.demo.DemoCaller;
import org.bulrushweir.demo.DemoFleet;
import org.bulrushweir.standin.DirectEndpointStandIn;
import org.bulrushweir.standin.StandInStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what callers get from a gateway that drains. */
class GatewayDrainTest {

  private static final long GRACE_MS = 8_000;

  /** A stream that takes more time for each token than engines usually do, in all 4.5 s. */
  private static final StandInStream SLOW_STREAM = new StandInStream(11, 5, 450);

  private static final String LAST_EVENT = "id: 10\n";
  private static final int READ_PAUSE_MS = 3_000;

  /** The time by which a stop begins after its signal; the stream above does not end before. */
  private static final long STOP_DELAY_MS = 5_500;

  private static final long WAIT_MS = 4_000;

  private final DemoFleet fleet =
      new DemoFleet(new PrintStream(OutputStream.nullOutputStream()), GRACE_MS);
  private final DemoCaller caller = new DemoCaller();
  private DirectEndpointStandIn orders;
  private GatewayService gateway;

  @BeforeEach
  void start() throws InterruptedException {
    fleet.startEndpoint("engine-1", DemoFleet.ASSISTANT, SLOW_STREAM);
    orders = fleet.startEndpoint("orders-1", DemoFleet.ORDERS, null);
    gateway = fleet.startGateway("gateway-1");
    final long untilMs = System.currentTimeMillis() + WAIT_MS;
    int number = 0;
    while (!caller.send(gateway.callersPort(), DemoCall.lookup("l" + number)).served()
        && System.currentTimeMillis() < untilMs) {
      Thread.sleep(20);
      number++;
    }
  }

  @AfterEach
  void close() {
    caller.close();
    fleet.close();
  }

  /** Sends a review of at most 200 output tokens and reads the response to its end. */
  private CompletableFuture<String> sendReview(final String id) {
    return CompletableFuture.supplyAsync(
        () -> {
          try (RawSocketClient client = new RawSocketClient(gateway.callersPort())) {
            client.send(
                "POST /review/1 HTTP/1.1\r\nHost: "
                    + DemoCall.CHAT_HOST
                    + "\r\nAuthorization: Bearer "
                    + DemoCall.KEY
                    + "\r\nX-Request-Id: "
                    + id
                    + "\r\nX-Deadline-Ms: 5000\r\nX-Token-Usage: 400,200"
                    + "\r\nX-Prompt-Prefix: 1:300,2:100\r\nContent-Length: 0\r\n\r\n");
            return client.read(READ_PAUSE_MS);
          } catch (IOException e) {
            return e.toString();
          }
        });
  }

  private static void assertNotCutOff(final String response) {
    assertTrue(response.contains(LAST_EVENT) || response.startsWith("HTTP/1.1 503"), response);
  }

  @Test
  void requestTakenLongAfterTheStopSignalIsNotCutOff() throws Exception {
    final CompletableFuture<String> early = sendReview("r1");
    Thread.sleep(200);
    final CompletableFuture<Void> stop = CompletableFuture.runAsync(() -> fleet.stopGateway(0));
    Thread.sleep(3_000);
    final CompletableFuture<String> late = sendReview("r2");
    final String earlyResponse = early.get(GRACE_MS, TimeUnit.MILLISECONDS);
    assertTrue(earlyResponse.contains(LAST_EVENT), earlyResponse);
    assertNotCutOff(late.get(GRACE_MS, TimeUnit.MILLISECONDS));
    stop.get(GRACE_MS, TimeUnit.MILLISECONDS);
  }

  /** Guards against a stop that starts late, after a slow start, and is cut short by the kill. */
  @Test
  void gracePeriodRunsFromTheSignalThoughTheStopBeginsLater() throws Exception {
    final CompletableFuture<String> taken = sendReview("r1");
    Thread.sleep(200);
    final long startMs = System.currentTimeMillis();
    final CompletableFuture<Void> stop =
        CompletableFuture.runAsync(() -> fleet.stopGateway(0, startMs - STOP_DELAY_MS));
    Thread.sleep(100);
    final String late = sendReview("r2").get(GRACE_MS, TimeUnit.MILLISECONDS);
    assertTrue(late.startsWith("HTTP/1.1 503"), late);
    stop.get(GRACE_MS, TimeUnit.MILLISECONDS);
    final long stoppedMs = System.currentTimeMillis() - startMs + STOP_DELAY_MS;
    assertTrue(stoppedMs <= GRACE_MS, "stopped " + stoppedMs + " ms after the signal");
    taken.get(GRACE_MS, TimeUnit.MILLISECONDS);
  }

  @Test
  void requestTakenAfterTheGatewayHasDrainedIsRefusedAsNotRun() {
    gateway.stop();
    try (DemoCaller late = new DemoCaller()) {
      assertEquals(503, late.send(gateway.callersPort(), DemoCall.booking("b1")).status());
    }
    assertTrue(!orders.runs().containsKey("b1"));
  }
}
