package org.bulrushweir.process;

import java.util.concurrent.Callable;

/** Waits for conditions. */
final class Waiting {

  private static final long TIMEOUT_MS = 20_000;
  private static final long INTERVAL_MS = 50;

  private Waiting() {}

  /**
   * Waits until a condition holds.
   *
   * @param condition the condition; a failure counts as false
   * @throws Exception if it does not hold in time
   */
  static void until(final Callable<Boolean> condition) throws Exception {
    final long endMs = System.currentTimeMillis() + TIMEOUT_MS;
    Exception last = null;
    while (System.currentTimeMillis() < endMs) {
      try {
        if (condition.call()) {
          return;
        }
      } catch (Exception e) {
        last = e;
      }
      Thread.sleep(INTERVAL_MS);
    }
    throw new AssertionError("the condition does not hold in time", last);
  }
}
