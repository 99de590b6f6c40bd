package org.bulrushweir.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Shows that the soak notices a gateway that breaks a promise, for each of the promises. */
class SoakCheckerTest {

  private static final long SEED = 3;
  private static final long LENGTH_MS = 12_000;

  @TempDir private Path directory;

  @Test
  void brokenPromisesAreNoticed() throws Exception {
    final Map<Sabotage, Future<String>> results = new EnumMap<>(Sabotage.class);
    final List<String> failures = new ArrayList<>();
    try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
      for (final Sabotage sabotage : Sabotage.values()) {
        if (sabotage != Sabotage.NO_SABOTAGE) {
          results.put(sabotage, threads.submit((Callable<String>) () -> run(sabotage)));
        }
      }
    }
    for (final Future<String> result : results.values()) {
      if (!result.get().isEmpty()) {
        failures.add(result.get());
      }
    }
    assertEquals(List.of(), failures);
  }

  /** Runs a soak; returns what is wrong with its findings, empty if nothing is. */
  private String run(final Sabotage sabotage) throws Exception {
    final SoakOptions options = new SoakOptions(SEED, LENGTH_MS, 2, 9, 6, false, sabotage);
    try (Soak soak = new Soak(options, directory.resolve(sabotage.name()))) {
      final List<Breach> breaches = soak.run();
      final boolean right =
          sabotage.broken() == null
              ? breaches.isEmpty()
              : breaches.stream().anyMatch(it -> it.promise() == sabotage.broken());
      return right ? "" : sabotage + ": " + soak.report();
    }
  }
}
