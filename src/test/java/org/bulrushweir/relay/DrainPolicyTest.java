package org.bulrushweir.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.bulrushweir.catalog.RequestKind;
import org.junit.jupiter.api.Test;

/** Tests what a stopping router still takes. */
class DrainPolicyTest {

  private static final DrainPolicy POLICY = new DrainPolicy(8_000);

  @Test
  void takesWorkUntilTheBalancerHasNoticed() {
    assertTrue(POLICY.takes(RequestKind.STREAM, 3_000));
    assertTrue(POLICY.takes(RequestKind.UNSAFE, 3_000));
  }

  /** A stream that came 6.6 s after the stop signal was cut off when the process was killed. */
  @Test
  void refusesStreamThatWouldBeCutOff() {
    assertFalse(POLICY.takes(RequestKind.STREAM, 6_600));
    assertFalse(POLICY.takes(RequestKind.SAFE, 6_600));
  }
}
