package org.bulrushweir.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Plays calls of which some get stuck, with second attempts at the time that is measured. */
class SecondAttemptTest {

  private static final int CALLS = 20_000;
  private static final long TARGET_MS = 190;
  private static final long CALL_INTERVAL_MS = 10;

  /** The time after which a call was sent elsewhere before, at the shortest. */
  private static final long STALL_MS = 570;

  private final SplittableRandom random = new SplittableRandom(1);
  private final CallTimes times = new CallTimes();
  private int early;

  private long duration(final double stuckShare) {
    return random.nextDouble() < stuckShare ? 300 + random.nextInt(1_700) : 40 + random.nextInt(60);
  }

  /** Plays the calls; returns the share that end within the target. */
  private double withinTarget(final double stuckShare, final boolean secondAttempts) {
    int met = 0;
    early = 0;
    for (int call = 0; call < CALLS; call++) {
      final long nowMs = 100_000 + call * CALL_INTERVAL_MS;
      final long secondMs = secondAttempts ? times.secondAttemptMs(TARGET_MS) : CallTimes.NEVER;
      final long afterMs = Math.min(secondMs, STALL_MS);
      final long first = duration(stuckShare);
      final boolean replaced = first > afterMs;
      times.record(replaced ? afterMs : first, !replaced, nowMs);
      long total = first;
      if (replaced) {
        early += secondMs < STALL_MS ? 1 : 0;
        final long second = duration(stuckShare);
        times.record(second, true, nowMs);
        total = afterMs + second;
      }
      met += total <= TARGET_MS ? 1 : 0;
    }
    return (double) met / CALLS;
  }

  /** A second attempt after 570 ms can't meet a target of 190 ms. */
  @Test
  void secondAttemptLeavesTimeUntilTheTarget() {
    final double before = withinTarget(0.05, false);
    final double after = withinTarget(0.05, true);
    System.out.printf(
        "second attempts: within %d ms %.4f before, %.4f after; early %.4f of the calls%n",
        TARGET_MS, before, after, (double) early / CALLS);
    assertTrue(before < 0.96);
    assertTrue(after > 0.985);
    assertTrue(early < 0.08 * CALLS);
  }

  /** Attempts that are given up must not make all calls look short, which gives up ever more. */
  @Test
  void shareOfEarlyAttemptsStaysBoundedWhenManyCallsAreStuck() {
    withinTarget(0.3, true);
    assertTrue(early < 0.12 * CALLS, "early: " + early);
  }

  /** Where all calls are slow, another endpoint serves no sooner. */
  @Test
  void noSecondAttemptWhereAllCallsAreSlow() {
    for (int call = 0; call < 1_000; call++) {
      times.record(300 + random.nextInt(20), true, 100_000 + call);
    }
    assertEquals(CallTimes.NEVER, times.secondAttemptMs(TARGET_MS));
  }

  /** Without enough measured calls there is nothing to decide by. */
  @Test
  void noSecondAttemptWithoutMeasuredCalls() {
    assertEquals(CallTimes.NEVER, times.secondAttemptMs(TARGET_MS));
    assertEquals(0, times.meanMs());
  }
}
