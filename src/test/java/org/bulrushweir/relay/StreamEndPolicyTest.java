package org.bulrushweir.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests which streams are taken for cut off. */
class StreamEndPolicyTest {

  private static boolean isCut(
      final ResponseFraming framing, final boolean insideEvent, final boolean hasEvents) {
    return StreamEndPolicy.findCut(framing, insideEvent, hasEvents).isPresent();
  }

  @Test
  void streamThatEndsInsideAnEventIsCutOffWhateverItsFraming() {
    for (final ResponseFraming framing : ResponseFraming.values()) {
      assertTrue(isCut(framing, true, true), framing.name());
      assertTrue(isCut(framing, true, false), framing.name());
      assertFalse(isCut(framing, false, true), framing.name());
    }
  }

  @Test
  void streamWithoutEventsIsCompleteOnlyIfItsEndIsStated() {
    assertTrue(isCut(ResponseFraming.CONNECTION, false, false));
    assertFalse(isCut(ResponseFraming.CHUNKED, false, false));
    assertFalse(isCut(ResponseFraming.LENGTH, false, false));
  }
}
