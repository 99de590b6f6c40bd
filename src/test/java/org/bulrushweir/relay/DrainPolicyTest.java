package org.bulrushweir.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.bulrushweir.catalog.RequestKind;
import org.junit.jupiter.api.Test;

/** Tests which requests a draining router still accepts. */
class DrainPolicyTest {

  private static final DrainPolicy POLICY = new DrainPolicy(8_000);

  @Test
  void acceptsRequestsUntilTheLoadBalancerStopsSendingThem() {
    assertTrue(POLICY.accepts(RequestKind.STREAM, OptionalLong.of(100), 3_000));
    assertTrue(POLICY.accepts(RequestKind.UNSAFE, OptionalLong.empty(), 3_000));
  }

  /** A stream that arrived 6.6 s after the stop signal was cut off when the process was killed. */
  @Test
  void refusesStreamThatWouldBeCutOff() {
    assertFalse(POLICY.accepts(RequestKind.STREAM, OptionalLong.of(300), 6_600));
    assertFalse(POLICY.accepts(RequestKind.SAFE, OptionalLong.empty(), 6_600));
  }

  /** A stream of 222 events that arrived 3.3 s after the stop signal was cut off 3.9 s later. */
  @Test
  void refusesLongStreamsSooner() {
    assertFalse(POLICY.accepts(RequestKind.STREAM, OptionalLong.of(888), 3_305));
    assertFalse(POLICY.accepts(RequestKind.STREAM, OptionalLong.empty(), 3_305));
    assertTrue(POLICY.accepts(RequestKind.STREAM, OptionalLong.of(280), 3_305));
  }
}
