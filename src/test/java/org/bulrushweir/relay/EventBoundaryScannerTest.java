package org.bulrushweir.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests where events end. */
class EventBoundaryScannerTest {

  private final EventBoundaryScanner scanner = new EventBoundaryScanner();

  private void accept(final String text) {
    for (final byte value : text.getBytes(StandardCharsets.UTF_8)) {
      scanner.accept(value);
    }
  }

  @Test
  void onlyTheWholeEmptyLineEndsAnEvent() {
    for (final String event : new String[] {"id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n"}) {
      for (int length = 1; length < event.length(); length++) {
        scanner.reset();
        accept(event.substring(0, length));
        assertTrue(scanner.isInsideEvent(), event.substring(0, length));
      }
      accept(event.substring(event.length() - 1));
      assertFalse(scanner.isInsideEvent());
    }
  }

  @Test
  void emptyLinesAloneAreNoEvent() {
    assertFalse(scanner.hasEvent());
    accept("\n\r\n");
    assertFalse(scanner.hasEvent());
    assertFalse(scanner.isInsideEvent());
    accept("data: a\n\n\n");
    assertTrue(scanner.hasEvent());
    assertFalse(scanner.isInsideEvent());
  }

  @Test
  void incompleteEventIsForgotten() {
    accept("data: a\n\ndata");
    scanner.reset();
    assertFalse(scanner.isInsideEvent());
    assertTrue(scanner.accept((byte) '\n'));
  }
}
