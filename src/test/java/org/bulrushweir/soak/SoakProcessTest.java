package org.bulrushweir.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Runs the soak with processes of the binary. The properties {@code soak.seed}, {@code soak.seeds},
 * {@code soak.seconds} and others choose longer runs; docs/OPERATIONS.md has the list.
 */
class SoakProcessTest {

  private static final Path DIRECTORY = Path.of("target", "soak");
  private static final long SEED = 1;
  private static final int SECONDS = 25;

  @Test
  void promisesHoldUnderFaults() throws Exception {
    final long first = Long.getLong("soak.seed", SEED);
    final int count = Integer.getInteger("soak.seeds", 1);
    final List<String> failures = new ArrayList<>();
    for (long seed = first; seed < first + count; seed++) {
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
