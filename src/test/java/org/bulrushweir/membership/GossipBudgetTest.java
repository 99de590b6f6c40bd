package org.bulrushweir.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Verifies that gossip stays within its byte budget and that the leaving state of an endpoint
 * reaches all processes in time.
 */
@Execution(ExecutionMode.CONCURRENT)
class GossipBudgetTest {

  private static final long SEED = 99;
  private static final long WARM_UP_MS = 15_000;
  private static final long MEASURED_MS = 10_000;
  private static final double LOSS_RATE = 0.01;
  private static final int LEAVING_NODE_OFFSET = 3;
  private static final long LEAVING_BOUND_MS = 3_000;

  @ParameterizedTest
  @CsvSource({"4, 14, 2000", "20, 30, 20000", "79, 121, 20000", "390, 600, 20000"})
  void bytesStayWithinTheBudget(final int routers, final int endpoints, final int budget) {
    final GossipSimulation simulation = new GossipSimulation(routers, endpoints, LOSS_RATE, SEED);
    simulation.run(WARM_UP_MS);
    simulation.resetCounters();
    simulation.run(MEASURED_MS);
    final double bytesPerSecond = simulation.bytesPerSecond(MEASURED_MS);
    System.out.printf(
        "gossip: %d routers, %d endpoints: %.0f B/s a node, age of reports p50 %d ms, p99 %d ms;"
            + " of the own pool p50 %d ms, p99 %d ms%n",
        routers,
        endpoints,
        bytesPerSecond,
        simulation.ageMs(0.5),
        simulation.ageMs(0.99),
        simulation.poolAgeMs(0.5),
        simulation.poolAgeMs(0.99));
    assertTrue(bytesPerSecond <= budget, () -> bytesPerSecond + " B/s");
    assertTrue(simulation.ageMs(0.99) < EndpointTable.EXPIRY_MS);
  }

  @Test
  void leavingStateReachesAllNodesInTime() {
    final GossipSimulation simulation = new GossipSimulation(20, 30, LOSS_RATE, SEED);
    simulation.run(WARM_UP_MS);
    simulation.leave(20 + LEAVING_NODE_OFFSET);
    simulation.run(LEAVING_BOUND_MS);
    assertEquals(0, simulation.unaware(20 + LEAVING_NODE_OFFSET));
  }
}
