package org.bulrushweir.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
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

  private static List<Long> seeds() throws IOException {
    if (Boolean.getBoolean("soak.failed")) {
      return Files.readAllLines(FAILED_SEEDS).stream()
          .filter(line -> !line.startsWith("#"))
          .map(line -> Long.parseLong(line.substring(0, line.indexOf(' '))))
          .toList();
    }
    final long first = Long.getLong("soak.seed", SEED);
    return LongStream.range(first, first + Integer.getInteger("soak.seeds", 1)).boxed().toList();
  }

  @Test
  void promisesHoldUnderFaults() throws Exception {
    final List<String> failures = new ArrayList<>();
    for (final long seed : seeds()) {
      final SoakOptions options = SoakOptions.ofProperties(seed, SECONDS);
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
