package org.bulrushweir.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Runs the soak with processes of the binary. The properties {@code soak.seed}, {@code soak.seeds},
 * {@code soak.seconds} and others choose longer runs; docs/OPERATIONS.md has the list.
 */
class SoakProcessTest {

  private static final Path DIRECTORY = Path.of("target", "soak");
  private static final Path FAILED_SEEDS = Path.of("src/test/resources/soak/failed-seeds.txt");
  private static final long SEED = 1;
  private static final int SECONDS = 25;

  /** Reads the seeds, each with the seconds for which faults are injected. */
  private static Map<Long, Integer> seeds() throws IOException {
    final Map<Long, Integer> seeds = new TreeMap<>();
    if (Boolean.getBoolean("soak.failed")) {
      Files.readAllLines(FAILED_SEEDS).stream()
          .filter(line -> !line.startsWith("#"))
          .map(line -> line.split(" ", 3))
          .forEach(words -> seeds.put(Long.parseLong(words[0]), Integer.parseInt(words[1])));
      return seeds;
    }
    final long first = Long.getLong("soak.seed", SEED);
    for (int number = 0; number < Integer.getInteger("soak.seeds", 1); number++) {
      seeds.put(first + number, Integer.getInteger("soak.seconds", SECONDS));
    }
    return seeds;
  }

  @Test
  void promisesHoldUnderFaults() throws Exception {
    final List<String> failures = new ArrayList<>();
    for (final Map.Entry<Long, Integer> entry : seeds().entrySet()) {
      final long seed = entry.getKey();
      final SoakOptions options = SoakOptions.ofProperties(seed, entry.getValue());
      try (Soak soak = new Soak(options, DIRECTORY.resolve("seed-" + seed))) {
        final List<Breach> breaches = soak.run();
        System.out.println(soak.report());
        if (!breaches.isEmpty()) {
          failures.add("seed " + seed + ": " + breaches);
        }
      }
    }
    assertEquals(List.of(), failures);
  }
}
