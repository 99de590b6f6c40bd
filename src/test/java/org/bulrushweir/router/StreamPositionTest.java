package org.bulrushweir.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.RequestId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the ids of events that callers send back to resume a stream. */
class StreamPositionTest {

  @Test
  void idIsReadAsItWasWritten() {
    final StreamPosition position =
        new StreamPosition(new EndpointId("engine-1"), -2L, new RequestId(-1L), 3, 2_147_483_646);
    assertEquals(position, StreamPosition.parse(position.toString()));
  }

  /**
   * Guards against a position before the first part: the sidecar would fail and close the
   * connection, which the streams of other callers share.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {"1~-1", "1~-9", "1~2147483647", "1~2147483648", "-1~4", "1~4.0", "1~", "1", ""})
  void idThatNoEventHasIsRejected(final String attemptAndSequence) {
    final String start = "engine-1~1~" + new RequestId(2L) + "~";
    assertEquals(4, StreamPosition.parse(start + "1~4").sequence());
    assertThrows(
        IllegalArgumentException.class, () -> StreamPosition.parse(start + attemptAndSequence));
  }
}
