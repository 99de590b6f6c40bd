package org.bulrushweir.balancing;

import java.util.SplittableRandom;

/** The paces of VMs that other workloads slow down, by time. */
final class SlowMachines {

  static final double SLOW_PACE = 2.5;

  private static final int STEP_MS = 10;
  private static final int SLOWDOWN_MS = 600;
  private static final int LONG_SLOWDOWN_MS = 4_000;
  private static final double SLOW_SHARE = 0.15;

  private final boolean[][] slow;

  /**
   * Draws the slowdowns of machines.
   *
   * @param machines the number of machines
   * @param durationMs the time that is drawn, in milliseconds
   * @param longShare the share of the slowdowns that take seconds
   * @param random draws the slowdowns
   */
  SlowMachines(
      final int machines,
      final long durationMs,
      final double longShare,
      final SplittableRandom random) {
    final int steps = (int) (durationMs / STEP_MS);
    slow = new boolean[machines][steps];
    final double meanMs = SLOWDOWN_MS + longShare * (LONG_SLOWDOWN_MS - SLOWDOWN_MS);
    final double startsPerStep = STEP_MS * SLOW_SHARE / (1 - SLOW_SHARE) / meanMs;
    for (final boolean[] machine : slow) {
      int left = 0;
      for (int step = 0; step < steps; step++) {
        if (left == 0 && random.nextDouble() < startsPerStep) {
          left = (random.nextDouble() < longShare ? LONG_SLOWDOWN_MS : SLOWDOWN_MS) / STEP_MS;
        }
        machine[step] = left > 0;
        left = Math.max(0, left - 1);
      }
    }
  }

  double pace(final int machine, final long nowMs) {
    return slow[machine][(int) (nowMs / STEP_MS) % slow[machine].length] ? SLOW_PACE : 1;
  }
}
