package org.bulrushweir.delivery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Proves what holds for every answer, over random schedules of faults. */
class DeliveryPropertyTest {

  private static final String SEED = "4242";
  private static final int TRIES = 2_000;
  private static final long SEEDS_WITHOUT_MECHANISM = 3_000;

  @Property(tries = TRIES, seed = SEED)
  void everyRequestGetsAnOutcome(
      @ForAll @LongRange(min = 0) final long seed,
      @ForAll final boolean repeatable,
      @ForAll final boolean continuable) {
    assertTrue(
        new DeliverySimulation(seed, DeliveryFaults.ALL, repeatable, continuable)
            .run()
            .outcome()
            .isPresent());
  }

  @Property(tries = TRIES, seed = SEED)
  void notRunMeansNotRun(
      @ForAll @LongRange(min = 0) final long seed, @ForAll final boolean repeatable) {
    assertTrue(keepsItsWord(seed, DeliveryFaults.ALL, repeatable));
  }

  /** Tells whether nothing ever started where the caller was told that nothing was run. */
  private static boolean keepsItsWord(
      final long seed, final DeliveryFaults faults, final boolean repeatable) {
    final DeliverySimulation simulation =
        new DeliverySimulation(seed, faults, repeatable, false).run();
    final boolean toldNotRun = simulation.outcome().orElseThrow() instanceof RequestOutcome.NotRun;
    return !toldNotRun || simulation.starts() == 0;
  }

  @Test
  void withoutTombstonesNotRunIsSometimesWrong() {
    assertTrue(anyBrokenWord(DeliveryFaults.ALL.withoutTombstones()));
  }

  @Test
  void withOldConnectionsNotRunIsSometimesWrong() {
    assertTrue(anyBrokenWord(DeliveryFaults.ALL.withOldConnections()));
  }

  private static boolean anyBrokenWord(final DeliveryFaults faults) {
    return LongStream.range(0, SEEDS_WITHOUT_MECHANISM)
        .anyMatch(seed -> !keepsItsWord(seed, faults, true));
  }

  @Property(tries = TRIES, seed = SEED)
  void answersAreWholeAndInOrder(
      @ForAll @LongRange(min = 0) final long seed,
      @ForAll final boolean repeatable,
      @ForAll final boolean continuable) {
    final DeliverySimulation simulation =
        new DeliverySimulation(seed, DeliveryFaults.ALL, repeatable, continuable).run();
    if (simulation.outcome().orElseThrow() instanceof RequestOutcome.Ran) {
      assertEquals(DeliverySimulation.wholeAnswer(), simulation.delivered());
    } else {
      assertTrue(DeliverySimulation.wholeAnswer().startsWith(simulation.delivered()));
    }
  }

  @Property(tries = TRIES, seed = SEED)
  void whatMustNotRepeatStartsOnceAtTheMost(
      @ForAll @LongRange(min = 0) final long seed, @ForAll final boolean continuable) {
    final DeliverySimulation simulation =
        new DeliverySimulation(seed, DeliveryFaults.ALL, false, continuable).run();
    assertTrue(simulation.starts() <= 1, () -> "starts: " + simulation.starts());
  }

  @Property(tries = TRIES, seed = SEED)
  void nothingStartsAfterTheCallerWasToldNotRun(
      @ForAll @LongRange(min = 0) final long seed, @ForAll final boolean repeatable) {
    final DeliverySimulation simulation =
        new DeliverySimulation(seed, DeliveryFaults.ALL, repeatable, true).run();
    if (simulation.outcome().orElseThrow() instanceof RequestOutcome.NotRun) {
      assertEquals(0, simulation.starts());
    }
  }

  @Test
  void withoutFaultsEveryRequestRuns() {
    for (long seed = 0; seed < 100; seed++) {
      final DeliverySimulation simulation =
          new DeliverySimulation(seed, DeliveryFaults.NONE, true, true).run();
      assertTrue(simulation.outcome().orElseThrow() instanceof RequestOutcome.Ran);
      assertEquals(DeliverySimulation.wholeAnswer(), simulation.delivered());
    }
  }
}
