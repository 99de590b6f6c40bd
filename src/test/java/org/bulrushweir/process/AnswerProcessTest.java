package org.bulrushweir.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpRequest;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Proves with real processes that answers arrive whole, whatever is killed, cut or silent. */
class AnswerProcessTest {

  private static final int LONG_ANSWER = 150;
  private static final int SHORT_ANSWER = 30;
  private static final String STEP = "20";

  @TempDir private Path directory;
  private Fleet fleet;

  @BeforeEach
  void startFleet() throws Exception {
    fleet = new Fleet(directory);
    Fleet.startTogether(
        () -> fleet.startEngine("engine-1", "--step-ms", STEP),
        () -> fleet.startEngine("engine-2", "--step-ms", STEP),
        () -> fleet.startRouter("router-1"),
        () -> fleet.startRouter("router-2"));
    assertEquals(
        0, fleet.submit(Files.readString(Path.of("src/test/resources/fleet/test-fleet.toml"))));
    fleet.awaitReady("router-1");
    fleet.awaitReady("router-2");
  }

  @AfterEach
  void stopFleet() {
    fleet.close();
  }

  private HttpRequest.Builder request(final String router, final String prompt, final int tokens) {
    final String template =
        "{\"model\":\"spec-7b\",\"stream\":true,\"max_tokens\":%d,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}";
    return fleet
        .chat(router, template.formatted(tokens, prompt))
        .header("Bulrushweir-Class", "review");
  }

  private String undisturbed(final String prompt, final int tokens) throws Exception {
    final AnswerStream stream = fleet.stream(request("router-2", prompt, tokens)).awaitEnd();
    assertTrue(stream.isWhole(), stream::problem);
    return stream.text();
  }

  /** Finds the endpoint that a stream comes from. */
  private static String endpointOf(final AnswerStream stream) {
    return stream.lastEventId().split("~")[0];
  }

  private static void assertWhole(final AnswerStream stream, final String expected) {
    assertTrue(stream.isWhole(), stream::problem);
    assertEquals(expected, stream.text());
  }

  @Test
  void streamSurvivesTheDeathOfItsRouter() throws Exception {
    final String expected = undisturbed("killed router", LONG_ANSWER);
    final AnswerStream first = fleet.stream(request("router-1", "killed router", LONG_ANSWER));
    first.awaitTokens(20);
    fleet.process("router-1").kill();
    first.awaitEnd();
    assertFalse(first.isWhole());
    final AnswerStream second =
        fleet.stream(
                request("router-2", "killed router", LONG_ANSWER)
                    .header("Last-Event-ID", first.lastEventId()))
            .awaitEnd();
    assertTrue(second.isWhole(), second::problem);
    assertEquals(expected, first.text() + second.text());
  }

  @Test
  void streamSurvivesTheDeathOfItsSidecar() throws Exception {
    final String expected = undisturbed("killed sidecar", LONG_ANSWER);
    final AnswerStream stream = fleet.stream(request("router-1", "killed sidecar", LONG_ANSWER));
    stream.awaitTokens(20);
    fleet.process(endpointOf(stream)).kill();
    assertWhole(stream.awaitEnd(), expected);
  }

  @Test
  void streamSurvivesTheDeathOfItsEngine() throws Exception {
    final String expected = undisturbed("killed engine", LONG_ANSWER);
    final AnswerStream stream = fleet.stream(request("router-1", "killed engine", LONG_ANSWER));
    stream.awaitTokens(20);
    fleet.process(endpointOf(stream) + "-engine").kill();
    assertWhole(stream.awaitEnd(), expected);
  }

  @Test
  void streamSurvivesTheFreezeOfItsSidecar() throws Exception {
    final String expected = undisturbed("frozen sidecar", LONG_ANSWER);
    final AnswerStream stream = fleet.stream(request("router-1", "frozen sidecar", LONG_ANSWER));
    stream.awaitTokens(20);
    final String endpoint = endpointOf(stream);
    fleet.process(endpoint).signal("STOP");
    assertWhole(stream.awaitEnd(), expected);
    fleet.process(endpoint).signal("CONT");
  }

  @Test
  void streamSurvivesSilentConnections() throws Exception {
    try (TcpRelay first = new TcpRelay(fleet.peerPort("engine-1"));
        TcpRelay second = new TcpRelay(fleet.peerPort("engine-2"))) {
      fleet.register("engine-1", "ENDPOINT", first.port(), "assistant", "LIVE");
      fleet.register("engine-2", "ENDPOINT", second.port(), "assistant", "LIVE");
      Thread.sleep(1_000);
      final String expected = undisturbed("silent connection", LONG_ANSWER);
      final List<AnswerStream> streams = new ArrayList<>();
      for (int count = 0; count < 3; count++) {
        streams.add(fleet.stream(request("router-1", "silent connection", LONG_ANSWER)));
      }
      for (final AnswerStream stream : streams) {
        stream.awaitTokens(20);
      }
      assertTrue(first.connections() + second.connections() > 0);
      first.silenceOpenConnections();
      second.silenceOpenConnections();
      for (final AnswerStream stream : streams) {
        assertWhole(stream.awaitEnd(), expected);
      }
    }
  }

  @Test
  void gracefulStopsCutNothingOff() throws Exception {
    final String expected = undisturbed("graceful stop", LONG_ANSWER);
    final AnswerStream stream = fleet.stream(request("router-1", "graceful stop", LONG_ANSWER));
    stream.awaitTokens(10);
    final String endpoint = endpointOf(stream);
    fleet.process("router-1").terminate();
    fleet.process(endpoint).terminate();
    assertWhole(stream.awaitEnd(), expected);
    assertEquals(1, stream.text().split("\\Q" + expected + "\\E", -1).length - 1);
    assertTrue(fleet.process("router-1").awaitEnd(20_000));
    assertTrue(fleet.process(endpoint).awaitEnd(20_000));
  }

  @Test
  void leavingEndpointGetsNoNewWork() throws Exception {
    final AnswerStream probe = fleet.stream(request("router-1", "leaving", SHORT_ANSWER));
    probe.awaitEnd();
    final String leaving = endpointOf(probe);
    final AnswerStream running = fleet.stream(request("router-1", "leaving", LONG_ANSWER));
    running.awaitTokens(5);
    fleet.process(leaving).terminate();
    Thread.sleep(200);
    final int startedBefore = started(leaving);
    for (int count = 0; count < 10; count++) {
      final String router = count % 2 == 0 ? "router-1" : "router-2";
      final AnswerStream stream = fleet.stream(request(router, "leaving", SHORT_ANSWER)).awaitEnd();
      assertTrue(stream.isWhole(), stream::problem);
    }
    assertEquals(startedBefore, started(leaving));
    running.awaitEnd();
    assertTrue(running.isWhole(), running::problem);
  }

  private int started(final String endpoint) throws Exception {
    return Integer.parseInt(fleet.get(endpoint + "-engine", "/control/started"));
  }
}
