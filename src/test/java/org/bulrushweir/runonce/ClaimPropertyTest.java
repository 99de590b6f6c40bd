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

/** Proves that a request with a key runs at most once, over random schedules of faults. */
class ClaimPropertyTest {

  private static final String SEED = "1717";
  private static final int TRIES = 3_000;
  private static final int CLAIMANTS = 4;
  private static final long GIVE_UP_MS = 3_000;
  private static final long END_MS = 120_000;
  private static final long LEASE_MS = 1_000;
  private static final long SEEDS_WITHOUT_MECHANISM = 3_000;

  private static List<SimulatedClaimant> simulate(final long seed, final ClaimFaults faults) {
    final SplittableRandom random = new SplittableRandom(seed);
    final EventQueue queue = new EventQueue(0);
    final SimulatedTable table = new SimulatedTable(queue);
    final List<SimulatedClaimant> claimants = new ArrayList<>();
    for (int number = 0; number < CLAIMANTS; number++) {
      final long startMs = random.nextInt((int) GIVE_UP_MS);
      final SimulatedClaimant claimant =
          new SimulatedClaimant(queue, random.split(), faults, table, number, startMs + GIVE_UP_MS);
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
  void withLeasesThatLapseItSometimesRunsTwice() {
    assertTrue(
        LongStream.range(0, SEEDS_WITHOUT_MECHANISM)
            .anyMatch(seed -> runs(simulate(seed, ClaimFaults.ALL.withLeases(LEASE_MS))) > 1));
  }

  @Property(tries = TRIES, seed = SEED)
  void whoeverWasToldNotRunDidNotRunIt(@ForAll @LongRange(min = 0) final long seed) {
    for (final SimulatedClaimant claimant : simulate(seed, ClaimFaults.ALL)) {
      if (claimant.told() == SimulatedClaimant.Told.NOT_RUN) {
        assertEquals(0, claimant.runs());
      }
    }
  }

  @Property(tries = TRIES, seed = SEED)
  void allWhoGetAnAnswerGetTheSame(@ForAll @LongRange(min = 0) final long seed) {
    final long answers =
        simulate(seed, ClaimFaults.ALL).stream()
            .filter(claimant -> claimant.told() == SimulatedClaimant.Told.RAN)
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
              .allMatch(claimant -> claimant.told() == SimulatedClaimant.Told.NOT_RUN);
      assertTrue(runs(claimants) == 1 || allReleased);
    }
  }
}
