package org.bulrushweir.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Sends bad input to real processes, which say what is wrong and go on. */
class BadInputProcessTest {

  private static final int FINDINGS = 3;
  private static final String GOOD =
      "{\"model\":\"spec-7b\",\"max_tokens\":2,"
          + "\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";

  @TempDir private static Path directory;
  private static Fleet fleet;

  @BeforeAll
  static void startFleet() throws Exception {
    fleet = new Fleet(directory);
    fleet.startEngine("engine-1");
    fleet.startService("orders-1", "orders");
    fleet.startRouter("router-1");
    final String text =
        Files.readString(Path.of("src/test/resources/fleet/test-fleet.toml"))
            .replace("[services.orders]", "[services.orders]\nmaximum_body_bytes = 1000")
            .replace(
                "[organisations.org-b]",
                "[organisations.org-b]\nkey_sha256 = [\""
                    + "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
                    + "\"]");
    assertEquals(0, fleet.submit(text));
    fleet.awaitReady("router-1");
  }

  @AfterAll
  static void stopFleet() {
    fleet.close();
  }

  @AfterEach
  void goodInputStillWorks() throws Exception {
    assertEquals(200, fleet.send(fleet.chat("router-1", GOOD)).statusCode());
  }

  private static void assertProblem(
      final HttpRequest.Builder request, final int status, final String message) throws Exception {
    final HttpResponse<String> response = fleet.send(request);
    assertEquals(status, response.statusCode(), response.body());
    assertTrue(response.body().contains(message), response.body());
    assertTrue(response.body().contains("\"run_state\":\"not-run\""), response.body());
    assertEquals(
        "application/problem+json", response.headers().firstValue("content-type").orElse(""));
  }

  private static HttpRequest.Builder call(final String path, final String body) {
    return HttpRequest.newBuilder(fleet.uri("router-1", path))
        .header("Bulrushweir-Organisation", "org-a")
        .POST(HttpRequest.BodyPublishers.ofString(body));
  }

  @Test
  void malformedJson() throws Exception {
    assertProblem(fleet.chat("router-1", "{\n \"model\": ]"), 400, "line 2, column 11");
  }

  @Test
  void missingMessages() throws Exception {
    assertProblem(
        fleet.chat("router-1", "{\"model\":\"spec-7b\"}"), 400, "\\\"messages\\\" is missing");
  }

  @Test
  void misspeltModel() throws Exception {
    assertProblem(
        fleet.chat("router-1", GOOD.replace("spec-7b", "spec-7c")),
        404,
        "did you mean \\\"spec-7b\\\"?");
  }

  @Test
  void misspeltClass() throws Exception {
    assertProblem(
        fleet.chat("router-1", GOOD).header("Bulrushweir-Class", "quik"),
        400,
        "did you mean \\\"quick\\\"?");
  }

  @Test
  void unknownService() throws Exception {
    assertProblem(call("/services/odrers/bookings", "{}"), 404, "did you mean \\\"orders\\\"?");
  }

  @Test
  void oversizeBody() throws Exception {
    assertProblem(call("/services/orders/bookings", "x".repeat(2_000)), 413, "takes 1000");
  }

  @Test
  void unknownOrganisation() throws Exception {
    assertProblem(
        HttpRequest.newBuilder(fleet.uri("router-1", "/v1/chat/completions"))
            .header("Bulrushweir-Organisation", "nobody")
            .POST(HttpRequest.BodyPublishers.ofString(GOOD)),
        403,
        "is not declared");
  }

  @Test
  void wrongKeyOfAnOrganisation() throws Exception {
    assertProblem(
        HttpRequest.newBuilder(fleet.uri("router-1", "/v1/chat/completions"))
            .header("Bulrushweir-Organisation", "org-b")
            .header("Authorization", "Bearer wrong")
            .POST(HttpRequest.BodyPublishers.ofString(GOOD)),
        403,
        "the API key is not one of");
    final HttpResponse<String> right =
        fleet.send(
            HttpRequest.newBuilder(fleet.uri("router-1", "/v1/chat/completions"))
                .header("Bulrushweir-Organisation", "org-b")
                .header("Authorization", "Bearer secret")
                .POST(HttpRequest.BodyPublishers.ofString(GOOD)));
    assertEquals(200, right.statusCode(), right.body());
  }

  @Test
  void badIdempotencyKey() throws Exception {
    assertProblem(
        call("/services/orders/bookings", "{}").header("Idempotency-Key", "k".repeat(300)),
        400,
        "at most 255");
  }

  @Test
  void badDeadline() throws Exception {
    assertProblem(
        fleet.chat("router-1", GOOD).header("Bulrushweir-Deadline-Ms", "soon"),
        400,
        "not a positive whole number: soon");
  }

  @Test
  void badEventId() throws Exception {
    assertProblem(
        fleet.chat("router-1", GOOD).header("Last-Event-ID", "x~y"), 400, "not the id of an event");
  }

  @Test
  void textWithFindingsIsNotSubmitted() throws Exception {
    assertEquals(FINDINGS, fleet.submit("[services.x]\nkind = \"engin\"\n"));
  }

  @Test
  void truncatedAndForgedFrames() throws Exception {
    for (final byte[] bytes :
        new byte[][] {
          {0, 0, 1, 0, 1, 2, 3},
          {0, 0, 0, 3, 9, 9, 9},
          {0x7f, 0x7f, 0x7f, 0x7f},
        }) {
      for (final String process : new String[] {"engine-1", "router-1"}) {
        try (Socket socket =
            new Socket(InetAddress.getLoopbackAddress(), fleet.peerPort(process))) {
          final OutputStream output = socket.getOutputStream();
          output.write(bytes);
          output.flush();
        }
      }
    }
  }
}
