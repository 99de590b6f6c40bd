package org.bulrushweir.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Verifies that gossip alone, without the platform, brings a configuration into force in all
 * processes within a time limit.
 */
@Execution(ExecutionMode.CONCURRENT)
class ConfigSpreadTest {

  private static final long SEED = 5;
  private static final double LOSS_RATE = 0.01;
  private static final long WARM_UP_MS = 5_000;
  private static final long IN_FORCE_MS = 5_000;
  private static final long STEP_MS = 20;
  private static final int PARTITIONED_ZONE = 3;
  private static final long PARTITION_MS = 60_000;

  private static long submitAndWait(final GossipSimulation simulation, final long number) {
    simulation.submit(number);
    return waitUntilAllHave(simulation, number);
  }

  private static long waitUntilAllHave(final GossipSimulation simulation, final long number) {
    long elapsedMs = 0;
    while (simulation.behind(number) > 0 && elapsedMs < 2 * IN_FORCE_MS) {
      simulation.run(STEP_MS);
      elapsedMs += STEP_MS;
    }
    return elapsedMs;
  }

  @ParameterizedTest
  @CsvSource({"4, 14", "20, 30", "79, 121", "390, 600"})
  void configurationIsInForceEverywhereInTime(final int routers, final int endpoints) {
    final GossipSimulation simulation = new GossipSimulation(routers, endpoints, LOSS_RATE, SEED);
    simulation.run(WARM_UP_MS);
    final long elapsedMs = submitAndWait(simulation, 1);
    System.out.printf(
        "configuration: %d processes: in force everywhere after %d ms%n",
        routers + endpoints, elapsedMs);
    assertTrue(elapsedMs <= IN_FORCE_MS, () -> elapsedMs + " ms");
  }

  @Test
  void zoneCatchesUpAfterPartition() {
    final GossipSimulation simulation = new GossipSimulation(79, 121, LOSS_RATE, SEED);
    simulation.run(WARM_UP_MS);
    simulation.partitionZone(PARTITIONED_ZONE);
    simulation.submit(1);
    simulation.run(PARTITION_MS);
    assertEquals(200 / 5, simulation.behind(1));
    simulation.partitionZone(-1);
    final long elapsedMs = waitUntilAllHave(simulation, 1);
    System.out.printf("configuration: a zone catches up %d ms after a cut%n", elapsedMs);
    assertTrue(elapsedMs <= IN_FORCE_MS, () -> elapsedMs + " ms");
  }
}
