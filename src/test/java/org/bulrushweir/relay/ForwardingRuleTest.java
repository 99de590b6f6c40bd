package org.bulrushweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.bulrushweir.relay.ForwardingRule.Verdict;
import org.junit.jupiter.api.Test;

/** Tests after which waits a request goes on. */
class ForwardingRuleTest {

  private static final long NOW_MS = 10_000;

  @Test
  void requestGoesOnIfItsCallerWasReadShortlyBefore() {
    assertEquals(Verdict.FORWARD, ForwardingRule.judge(NOW_MS, NOW_MS - 250, NOW_MS + 1));
  }

  @Test
  void callerIsReadFirstIfItMayHaveLeftLongBefore() {
    assertEquals(Verdict.READ_CALLER, ForwardingRule.judge(NOW_MS, NOW_MS - 251, NOW_MS + 1));
  }

  @Test
  void requestEndsAtItsDeadline() {
    assertEquals(Verdict.TOO_LATE, ForwardingRule.judge(NOW_MS, NOW_MS, NOW_MS));
    assertEquals(Verdict.TOO_LATE, ForwardingRule.judge(NOW_MS, NOW_MS - 251, NOW_MS));
  }
}
