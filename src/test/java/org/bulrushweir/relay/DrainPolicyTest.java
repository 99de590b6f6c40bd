package org.bulrushweir.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.bulrushweir.catalog.RequestKind;
import org.junit.jupiter.api.Test;

/** Tests which requests a draining router still accepts. */
class DrainPolicyTest {

  private static final DrainPolicy POLICY = new DrainPolicy(8_000);
  private static final long CALL_LIMIT_MS = 1_200;
  private static final long STREAM_LIMIT_MS = 15_000;

  private static boolean acceptsStream(final long tokens, final long stoppingForMs) {
    return POLICY.accepts(
        RequestKind.STREAM, OptionalLong.of(tokens), STREAM_LIMIT_MS, stoppingForMs);
  }

  private static boolean acceptsCall(final long stoppingForMs) {
    return POLICY.accepts(RequestKind.UNSAFE, OptionalLong.empty(), CALL_LIMIT_MS, stoppingForMs);
  }

  @Test
  void acceptsRequestsUntilTheLoadBalancerStopsSendingThem() {
    assertTrue(acceptsStream(100, DrainPolicy.BALANCER_NOTICE_MS));
    assertTrue(acceptsStream(600, DrainPolicy.BALANCER_NOTICE_MS));
    assertTrue(acceptsCall(3_000));
    assertTrue(acceptsCall(5_300));
  }

  /** A stream that arrived 6.6 s after the stop signal was cut off when the process was killed. */
  @Test
  void refusesStreamThatWouldBeCutOff() {
    assertFalse(acceptsStream(300, 6_600));
    assertFalse(acceptsCall(6_600));
  }

  /** A stream of 222 events that arrived 3.3 s after the stop signal was cut off 3.9 s later. */
  @Test
  void refusesLongStreamsSooner() {
    assertFalse(acceptsStream(888, 3_305));
    assertFalse(acceptsStream(888, 1_500));
    assertFalse(POLICY.accepts(RequestKind.STREAM, OptionalLong.empty(), STREAM_LIMIT_MS, 3_305));
    assertFalse(POLICY.accepts(RequestKind.STREAM, OptionalLong.empty(), STREAM_LIMIT_MS, 2_000));
  }

  /** A stream that is expected to end in time may take longer: engines slow down under load. */
  @Test
  void refusesLateStreamThatIsOnlyExpectedToFinish() {
    assertFalse(acceptsStream(10, 3_305));
    assertFalse(acceptsStream(280, 3_305));
  }

  @Test
  void acceptsLateRequestWhoseTimeLimitEndsBeforeTheExit() {
    assertTrue(POLICY.accepts(RequestKind.STREAM, OptionalLong.of(888), 3_000, 3_305));
    assertFalse(POLICY.accepts(RequestKind.STREAM, OptionalLong.of(888), 3_300, 3_305));
    assertFalse(POLICY.accepts(RequestKind.SAFE, OptionalLong.empty(), 4_000, 3_305));
  }
}
