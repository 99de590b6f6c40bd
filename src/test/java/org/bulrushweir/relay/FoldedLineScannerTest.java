package org.bulrushweir.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which lines of a head count as folded. */
class FoldedLineScannerTest {

  private final FoldedLineScanner scanner = new FoldedLineScanner();

  private boolean isFolded(final String head) {
    for (final byte value : head.getBytes(StandardCharsets.US_ASCII)) {
      scanner.accept(value);
    }
    return scanner.isFolded();
  }

  @Test
  void headWithoutWhiteSpaceAtTheStartOfLinesIsNotFolded() {
    assertFalse(isFolded("HTTP/1.1 200 OK\r\nA: b c\r\nD:\te \r\n\r\n"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"A: b\r\n c\r\n", "A: b\r\n\tc\r\n", "A: b\n c", "A: b\r\n \r\n", " A: b"})
  void lineThatStartsWithWhiteSpaceIsFolded(final String head) {
    assertTrue(isFolded(head));
  }

  @Test
  void eachHeadIsScannedByItself() {
    assertTrue(isFolded("A: b\r\n c"));
    scanner.reset();
    assertFalse(isFolded("A: b\r\n\r\n"));
  }
}
