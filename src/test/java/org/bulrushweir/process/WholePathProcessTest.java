package org.bulrushweir.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the whole path as separate processes. */
class WholePathProcessTest {

  private static final String LONG_PROMPT =
      IntStream.range(0, 100).mapToObj(it -> "word" + it).collect(Collectors.joining(" "));

  @TempDir private static Path directory;
  private static Fleet fleet;
  private final ObjectMapper mapper = new ObjectMapper();

  @BeforeAll
  static void startFleet() throws Exception {
    fleet = new Fleet(directory);
    fleet.startEngine("engine-1");
    fleet.startEngine("engine-2");
    fleet.startService("orders-1", "orders");
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

  private JsonNode chat(final String router, final String prompt, final int tokens)
      throws Exception {
    final HttpResponse<String> response =
        fleet.send(fleet.chat(router, body(prompt, tokens, false)));
    assertEquals(200, response.statusCode(), response.body());
    return mapper.readTree(response.body());
  }

  private static String body(final String prompt, final int tokens, final boolean stream) {
    final String template =
        "{\"model\":\"spec-7b\",\"stream\":%s,\"max_tokens\":%d,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}";
    return template.formatted(stream, tokens, prompt);
  }

  @Test
  void returningChatFindsItsPrefixCachedThroughAnyRouter() throws Exception {
    final JsonNode first = chat("router-1", LONG_PROMPT, 8);
    assertEquals(0, first.at("/usage/prompt_tokens_details/cached_tokens").asInt());
    final JsonNode second = chat("router-2", LONG_PROMPT, 8);
    assertEquals(96, second.at("/usage/prompt_tokens_details/cached_tokens").asInt());
    assertEquals(
        first.at("/choices/0/message/content").asText(),
        second.at("/choices/0/message/content").asText());
  }

  @Test
  void streamCarriesTheSameTextAsTheWholeAnswer() throws Exception {
    final String whole =
        chat("router-1", "Compare two fills", 20).at("/choices/0/message/content").asText();
    final HttpResponse<String> response =
        fleet.send(fleet.chat("router-2", body("Compare two fills", 20, true)));
    final StringBuilder text = new StringBuilder();
    for (final String line : response.body().split("\n")) {
      if (line.startsWith("data: {")) {
        text.append(mapper.readTree(line.substring(6)).at("/choices/0/delta/content").asText(""));
      }
    }
    assertEquals(whole, text.toString().replace("null", ""));
    assertTrue(response.body().endsWith("data: [DONE]\n\n"));
  }

  @Test
  void bookingRunsOnceThroughTwoRouters() throws Exception {
    final CompletableFuture<HttpResponse<String>> first =
        CompletableFuture.supplyAsync(() -> book("router-1", "pallet-1"));
    final CompletableFuture<HttpResponse<String>> second =
        CompletableFuture.supplyAsync(() -> book("router-2", "pallet-1"));
    assertEquals(201, first.join().statusCode(), first.join().body());
    assertEquals(201, second.join().statusCode(), second.join().body());
    assertEquals(first.join().body(), second.join().body());
    final JsonNode runs =
        mapper.readTree(
            fleet
                .send(HttpRequest.newBuilder(fleet.uri("orders-1-service", "/control/runs")))
                .body());
    assertEquals(1, runs.get("pallet-1").asInt());
  }

  private static HttpResponse<String> book(final String router, final String reference) {
    try {
      return fleet.send(
          HttpRequest.newBuilder(fleet.uri(router, "/services/orders/bookings"))
              .header("Bulrushweir-Organisation", "org-a")
              .header("Idempotency-Key", "key-" + reference)
              .header("Content-Type", "application/json")
              .POST(HttpRequest.BodyPublishers.ofString("{\"reference\":\"" + reference + "\"}")));
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }
}
