package org.bulrushweir.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Proves with real processes that bookings run at most once and that callers are told the truth.
 */
class BookingProcessTest {

  private static final String RUN_STATE = "bulrushweir-run-state";

  @TempDir private static Path directory;
  private static Fleet fleet;
  private final ObjectMapper mapper = new ObjectMapper();

  @BeforeAll
  static void startFleet() throws Exception {
    fleet = new Fleet(directory);
    fleet.startService("orders-1", "orders");
    fleet.startService("orders-2", "orders");
    fleet.startRouter("router-1");
    fleet.startRouter("router-2");
    assertEquals(
        0, fleet.submit(Files.readString(Path.of("src/test/resources/fleet/test-fleet.toml"))));
    fleet.awaitReady("router-1");
    fleet.awaitReady("router-2");
  }

  @AfterAll
  static void stopFleet() {
    fleet.close();
  }

  private static CompletableFuture<HttpResponse<String>> book(
      final String router, final String key, final String reference) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return fleet.send(fleet.booking(router, key, reference));
          } catch (Exception e) {
            throw new IllegalStateException(e);
          }
        });
  }

  private static String runState(final HttpResponse<String> response) {
    return response.headers().firstValue(RUN_STATE).orElse("");
  }

  private int runs(final String reference) throws Exception {
    int sum = 0;
    for (final String service : List.of("orders-1-service", "orders-2-service")) {
      final JsonNode counts = mapper.readTree(fleet.get(service, "/control/runs"));
      sum += counts.path(reference).asInt();
    }
    return sum;
  }

  private static void delay(final long delayMs) throws Exception {
    for (final String service : List.of("orders-1-service", "orders-2-service")) {
      fleet.send(
          HttpRequest.newBuilder(fleet.uri(service, "/control/delay"))
              .PUT(HttpRequest.BodyPublishers.ofString(Long.toString(delayMs))));
    }
  }

  @Test
  void oneKeyThroughManyRoutersRunsOnce() throws Exception {
    final List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
    for (int count = 0; count < 10; count++) {
      calls.add(book(count % 2 == 0 ? "router-1" : "router-2", "many", "many"));
    }
    final Set<String> answers =
        calls.stream()
            .map(CompletableFuture::join)
            .map(HttpResponse::body)
            .collect(Collectors.toSet());
    assertEquals(1, answers.size(), answers::toString);
    assertEquals(1, runs("many"));
  }

  @Test
  void lostAnswerOfTheClaimIsSettled() throws Exception {
    fleet.faults(false, false, 1);
    final HttpResponse<String> response = book("router-1", "lost", "lost").join();
    assertEquals(201, response.statusCode(), response.body());
    assertEquals(1, runs("lost"));
    assertEquals(response.body(), book("router-2", "lost", "lost").join().body());
    assertEquals(1, runs("lost"));
  }

  @Test
  void outageMeansNotRun() throws Exception {
    fleet.faults(true, false, 0);
    try {
      final HttpResponse<String> response = book("router-1", "outage", "outage").join();
      assertEquals(503, response.statusCode(), response.body());
      assertEquals("not-run", runState(response));
      assertEquals(0, runs("outage"));
    } finally {
      fleet.faults(false, false, 0);
    }
    assertEquals(201, book("router-1", "outage", "outage").join().statusCode());
    assertEquals(1, runs("outage"));
  }

  @Test
  void platformThatHangsAfterTheClaimDoesNotHoldTheAnswerUp() throws Exception {
    delay(1_000);
    try {
      final CompletableFuture<HttpResponse<String>> call =
          book("router-1", "hang-after", "hang-after");
      Waiting.until(() -> runs("hang-after") == 1);
      fleet.faults(false, true, 0);
      final HttpResponse<String> response = call.join();
      assertEquals(201, response.statusCode(), response.body());
      fleet.faults(false, false, 0);
      Waiting.until(
          () -> book("router-2", "hang-after", "hang-after").join().body().equals(response.body()));
      assertEquals(1, runs("hang-after"));
    } finally {
      fleet.faults(false, false, 0);
      delay(0);
    }
  }

  @Test
  void anotherBodyUnderTheSameKeyIsRefused() throws Exception {
    assertEquals(201, book("router-1", "conflict", "conflict-1").join().statusCode());
    final HttpResponse<String> response = book("router-2", "conflict", "conflict-2").join();
    assertEquals(422, response.statusCode(), response.body());
    assertEquals("not-run", runState(response));
    assertEquals(0, runs("conflict-2"));
  }

  @Test
  void frozenSidecarsThatWakeLateDoNotRunItAgain() throws Exception {
    delay(500);
    try {
      final CompletableFuture<HttpResponse<String>> first = book("router-1", "frozen", "frozen");
      Waiting.until(() -> runs("frozen") == 1);
      for (final String sidecar : List.of("orders-1", "orders-2")) {
        fleet.process(sidecar).signal("STOP");
      }
      final CompletableFuture<HttpResponse<String>> second = book("router-2", "frozen", "frozen");
      Thread.sleep(6_000);
      for (final String sidecar : List.of("orders-1", "orders-2")) {
        fleet.process(sidecar).signal("CONT");
      }
      final Set<String> states =
          new HashSet<>(List.of(runState(first.join()), runState(second.join())));
      assertTrue(Set.of("ran", "unknown", "not-run").containsAll(states), states::toString);
      Waiting.until(() -> book("router-1", "frozen", "frozen").join().statusCode() == 201);
      assertEquals(1, runs("frozen"));
    } finally {
      delay(0);
    }
  }
}
