package org.bulrushweir.delivery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/**
 * Checks the guarantees of {@link RequestMachine} and {@link AttemptLedger} over random schedules
 * of faults. For the mechanisms behind {@link RequestOutcome.NotRun}, it also checks that the
 * guarantee fails when they are switched off.
 */
class DeliveryPropertyTest {

  private static final String SEED = "4242";
  private static final int TRIES = 2_000;
  private static final long SEEDS_WITHOUT_MECHANISM = 3_000;

  @Property(tries = TRIES, seed = SEED)
  void everyRequestGetsAnOutcome(
      @ForAll @LongRange(min = 0) final long seed,
      @ForAll final boolean retryable,
      @ForAll final boolean continuable) {
    assertTrue(
        new DeliverySimulation(seed, DeliveryFaults.ALL, retryable, continuable)
            .run()
            .outcome()
            .isPresent());
  }

  @Property(tries = TRIES, seed = SEED)
  void requestReportedAsNotRunNeverStarts(
      @ForAll @LongRange(min = 0) final long seed, @ForAll final boolean retryable) {
    assertTrue(notRunIsCorrect(seed, DeliveryFaults.ALL, retryable));
  }

  /**
   * Returns whether the outcome {@link RequestOutcome.NotRun}, if the caller got it, was correct:
   * no endpoint ever started the request.
   */
  private static boolean notRunIsCorrect(
      final long seed, final DeliveryFaults faults, final boolean retryable) {
    final DeliverySimulation simulation =
        new DeliverySimulation(seed, faults, retryable, false).run();
    final boolean reportedNotRun =
        simulation.outcome().orElseThrow() instanceof RequestOutcome.NotRun;
    return !reportedNotRun || simulation.starts() == 0;
  }

  @Test
  void withoutTombstonesNotRunIsSometimesWrong() {
    assertTrue(anyWrongNotRun(DeliveryFaults.ALL.withoutTombstones()));
  }

  @Test
  void withStaleConnectionsNotRunIsSometimesWrong() {
    assertTrue(anyWrongNotRun(DeliveryFaults.ALL.withStaleConnections()));
  }

  private static boolean anyWrongNotRun(final DeliveryFaults faults) {
    return LongStream.range(0, SEEDS_WITHOUT_MECHANISM)
        .anyMatch(seed -> !notRunIsCorrect(seed, faults, true));
  }

  @Property(tries = TRIES, seed = SEED)
  void answersAreCompleteAndInOrder(
      @ForAll @LongRange(min = 0) final long seed,
      @ForAll final boolean retryable,
      @ForAll final boolean continuable) {
    final DeliverySimulation simulation =
        new DeliverySimulation(seed, DeliveryFaults.ALL, retryable, continuable).run();
    if (simulation.outcome().orElseThrow() instanceof RequestOutcome.Ran) {
      assertEquals(DeliverySimulation.completeAnswer(), simulation.delivered());
    } else {
      assertTrue(DeliverySimulation.completeAnswer().startsWith(simulation.delivered()));
    }
  }

  @Property(tries = TRIES, seed = SEED)
  void nonIdempotentRequestStartsAtMostOnce(
      @ForAll @LongRange(min = 0) final long seed, @ForAll final boolean continuable) {
    final DeliverySimulation simulation =
        new DeliverySimulation(seed, DeliveryFaults.ALL, false, continuable).run();
    assertTrue(simulation.starts() <= 1, () -> "starts: " + simulation.starts());
  }

  @Property(tries = TRIES, seed = SEED)
  void nothingStartsWhenNotRunIsReported(
      @ForAll @LongRange(min = 0) final long seed, @ForAll final boolean retryable) {
    final DeliverySimulation simulation =
        new DeliverySimulation(seed, DeliveryFaults.ALL, retryable, true).run();
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
      assertEquals(DeliverySimulation.completeAnswer(), simulation.delivered());
    }
  }
}
