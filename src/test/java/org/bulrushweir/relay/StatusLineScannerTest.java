package org.bulrushweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests where status lines are found. */
class StatusLineScannerTest {

  private static int count(final String text) {
    final StatusLineScanner scanner = new StatusLineScanner();
    int found = 0;
    for (final byte value : text.getBytes(StandardCharsets.US_ASCII)) {
      if (scanner.accept(value)) {
        found++;
      }
    }
    return found;
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200",
        "HTTP/1.0 503 Service Unavailable",
        "OKHTTP/1.1 500 Internal Server Error",
        "HHTTP/1.1 204",
        "HTTPHTTP/1.1 204",
        "HTTP/1.1 HTTP/1.1 200 OK",
        "HTTP/1.1 20HTTP/1.1 200 OK"
      })
  void statusLinesAreFound(final String text) {
    assertTrue(count(text) > 0);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "OK",
        "HTTP/1.1",
        "HTTP/1.1 20",
        "HTTP/2.0 200",
        "HTTP/1.1  200",
        "http/1.1 200",
        "1.1 proxy"
      })
  void otherTextIsNoStatusLine(final String text) {
    assertFalse(count(text) > 0);
  }

  @Test
  void eachStatusLineIsReportedOnce() {
    assertEquals(2, count("HTTP/1.1 200 OK HTTP/1.1 500"));
  }
}
