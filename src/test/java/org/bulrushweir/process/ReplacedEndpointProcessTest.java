package org.bulrushweir.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Proves with real processes what callers are told when an endpoint's sidecar is replaced. */
class ReplacedEndpointProcessTest {

  /** The status with which the service answers a booking. */
  private static final int BOOKED_STATUS = 201;

  @TempDir private Path directory;
  private Fleet fleet;

  @BeforeEach
  void startFleet() throws Exception {
    fleet = new Fleet(directory);
    fleet.startService("orders-1", "orders");
    fleet.startRouter("router-1");
    assertEquals(
        0, fleet.submit(Files.readString(Path.of("src/test/resources/fleet/test-fleet.toml"))));
    fleet.awaitReady("router-1");
  }

  @AfterEach
  void stopFleet() {
    fleet.close();
  }

  private int runs(final String reference) throws Exception {
    return new ObjectMapper()
        .readTree(fleet.get("orders-1-service", "/control/runs"))
        .path(reference)
        .asInt();
  }

  @Test
  void bookingThatDiedWithItsSidecarIsUnknownAndNeverRunsAgain() throws Exception {
    fleet.send(
        HttpRequest.newBuilder(fleet.uri("orders-1-service", "/control/delay"))
            .PUT(HttpRequest.BodyPublishers.ofString("2000")));
    final CompletableFuture<HttpResponse<String>> first = CompletableFuture.supplyAsync(this::book);
    Waiting.until(() -> runs("killed") == 1);
    fleet.process("orders-1").kill();
    fleet.startSidecar("orders-1", "orders", fleet.httpPort("orders-1-service"), "");
    assertUnknown(first.join());
    awaitNewSidecarKnown();
    assertUnknown(book());
    assertEquals(1, runs("killed"));
  }

  /**
   * Waits until the router has read where the new sidecar is. Until then a request is refused as
   * not run, which is true of that request: it reaches nobody.
   */
  private void awaitNewSidecarKnown() throws Exception {
    Waiting.until(
        () ->
            fleet.send(fleet.booking("router-1", "probe", "probe")).statusCode() == BOOKED_STATUS);
  }

  private HttpResponse<String> book() {
    try {
      return fleet.send(fleet.booking("router-1", "killed", "killed"));
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private void assertUnknown(final HttpResponse<String> response) {
    assertTrue(
        response.body().contains("\"run_state\":\"unknown\""),
        () -> response.body() + "\nlog of the router:\n" + fleet.process("router-1").logText());
  }
}
