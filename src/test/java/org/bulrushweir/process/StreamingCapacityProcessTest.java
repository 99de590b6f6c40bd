package org.bulrushweir.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.URI;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Measures what a streamed token costs a router and a sidecar, against asking the engine itself.
 */
@Tag("capacity")
class StreamingCapacityProcessTest {

  private static final int TOKENS = 200;
  private static final int ROUNDS = 4;
  private static final int[] STREAMS = {10, 50, 100, 200};

  @TempDir private static Path directory;
  private static Fleet fleet;
  private static HttpClient http;

  @BeforeAll
  static void startFleet() throws Exception {
    fleet = new Fleet(directory);
    fleet.startEngine("engine-1", "--slots", "512", "--step-ms", "20");
    fleet.startRouter("router-1");
    final String text =
        Files.readString(Path.of("src/test/resources/fleet/test-fleet.toml"))
            .replace("slots = 8\nreserved_slots = 2", "slots = 512\nreserved_slots = 0");
    assertEquals(0, fleet.submit(text));
    fleet.awaitReady("router-1");
    http = HttpClient.newHttpClient();
    new StreamLoad(http).run(routed(), 100, 5, TOKENS);
    new StreamLoad(http).run(direct(), 50, 2, TOKENS);
  }

  @AfterAll
  static void stopFleet() {
    http.close();
    fleet.close();
  }

  private static URI routed() {
    return fleet.uri("router-1", "/v1/chat/completions");
  }

  private static URI direct() {
    return fleet.uri("engine-1-engine", "/v1/chat/completions");
  }

  private static Duration cpu(final String name) {
    return ProcessHandle.of(fleet.process(name).pid())
        .orElseThrow()
        .info()
        .totalCpuDuration()
        .orElseThrow();
  }

  @Test
  void processorTimePerToken() throws Exception {
    for (final int streams : STREAMS) {
      final StreamLoad own = new StreamLoad(http);
      own.run(direct(), streams, ROUNDS, TOKENS);
      final Duration router = cpu("router-1");
      final Duration sidecar = cpu("engine-1");
      final long startNs = System.nanoTime();
      final StreamLoad load = new StreamLoad(http);
      load.run(routed(), streams, ROUNDS, TOKENS);
      final double seconds = (System.nanoTime() - startNs) / 1e9;
      System.out.printf(
          "capacity: %d streams: %.0f tokens/s, %d failures; router %.1f us a token, sidecar %.1f"
              + " us a token; first byte p50 %.1f ms and p95 %.1f ms, of the engine itself %.1f and"
              + " %.1f ms%n",
          streams,
          load.events() / seconds,
          load.failures(),
          cpu("router-1").minus(router).toNanos() / 1e3 / load.events(),
          cpu("engine-1").minus(sidecar).toNanos() / 1e3 / load.events(),
          load.firstByteMicros().getValueAtPercentile(50) / 1e3,
          load.firstByteMicros().getValueAtPercentile(95) / 1e3,
          own.firstByteMicros().getValueAtPercentile(50) / 1e3,
          own.firstByteMicros().getValueAtPercentile(95) / 1e3);
      assertEquals(0, load.failures(), load.lastFailure());
    }
  }
}
