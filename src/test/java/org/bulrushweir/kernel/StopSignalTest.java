package org.bulrushweir.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests from when a grace period runs. */
class StopSignalTest {

  private final StopSignal signal = new StopSignal();

  /** Guards against a grace period that starts anew with each signal. */
  @Test
  void gracePeriodRunsFromTheFirstSignal() {
    signal.receive(1_000);
    signal.receive(3_000);
    assertEquals(1_000, signal.sinceMs(5_000));
  }

  @Test
  void gracePeriodOfStopWithoutSignalRunsFromItsStart() {
    assertEquals(5_000, signal.sinceMs(5_000));
    assertEquals(5_000, signal.sinceMs(6_000));
  }
}
