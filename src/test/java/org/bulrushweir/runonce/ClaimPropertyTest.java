package org.bulrushweir.runonce;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.bulrushweir.simulation.EventQueue;
import org.junit.jupiter.api.Test;

/**
 * Checks over random schedules of faults that a request with an idempotency key runs at most once,
 * and that this fails if claims expire.
 */
class ClaimPropertyTest {

  private static final String SEED = "1717";
  private static final int TRIES = 3_000;
  private static final int CLAIMANTS = 4;
  private static final long START_BY_MS = 3_000;
  private static final long END_MS = 120_000;
  private static final long LEASE_MS = 1_000;
  private static final long SEEDS_WITHOUT_MECHANISM = 3_000;

  private static List<SimulatedClaimant> simulate(final long seed, final ClaimFaults faults) {
    final SplittableRandom random = new SplittableRandom(seed);
    final EventQueue queue = new EventQueue(0);
    final SimulatedTable table = new SimulatedTable(queue);
    final List<SimulatedClaimant> claimants = new ArrayList<>();
    for (int number = 0; number < CLAIMANTS; number++) {
      final long startMs = random.nextInt((int) START_BY_MS);
      final SimulatedClaimant claimant =
          new SimulatedClaimant(
              queue, random.split(), faults, table, number, startMs + START_BY_MS);
      claimants.add(claimant);
      queue.schedule(startMs, claimant::start);
    }
    queue.runUntil(END_MS);
    return claimants;
  }

  private static int runs(final List<SimulatedClaimant> claimants) {
    return claimants.stream().mapToInt(SimulatedClaimant::runs).sum();
  }

  @Property(tries = TRIES, seed = SEED)
  void runsAtMostOnce(@ForAll @LongRange(min = 0) final long seed) {
    assertTrue(runs(simulate(seed, ClaimFaults.ALL)) <= 1);
  }

  @Test
  void withLeasesThatExpireItSometimesRunsTwice() {
    assertTrue(
        LongStream.range(0, SEEDS_WITHOUT_MECHANISM)
            .anyMatch(seed -> runs(simulate(seed, ClaimFaults.ALL.withLeases(LEASE_MS))) > 1));
  }

  @Property(tries = TRIES, seed = SEED)
  void claimantThatReportsNotRunDidNotRunIt(@ForAll @LongRange(min = 0) final long seed) {
    for (final SimulatedClaimant claimant : simulate(seed, ClaimFaults.ALL)) {
      if (claimant.reported() == SimulatedClaimant.Reported.NOT_RUN) {
        assertEquals(0, claimant.runs());
      }
    }
  }

  @Property(tries = TRIES, seed = SEED)
  void allAnswersAreTheSame(@ForAll @LongRange(min = 0) final long seed) {
    final long answers =
        simulate(seed, ClaimFaults.ALL).stream()
            .filter(claimant -> claimant.reported() == SimulatedClaimant.Reported.RAN)
            .map(SimulatedClaimant::answer)
            .distinct()
            .count();
    assertTrue(answers <= 1);
  }

  @Test
  void withoutFaultsItRunsOnceOrIsReleased() {
    for (long seed = 0; seed < 300; seed++) {
      final List<SimulatedClaimant> claimants = simulate(seed, ClaimFaults.NONE);
      final boolean allReleased =
          claimants.stream()
              .allMatch(claimant -> claimant.reported() == SimulatedClaimant.Reported.NOT_RUN);
      assertTrue(runs(claimants) == 1 || allReleased);
    }
  }
}
