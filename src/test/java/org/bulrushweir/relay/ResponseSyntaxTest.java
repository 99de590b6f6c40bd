package org.bulrushweir.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which responses are rejected for their status line or their transfer encoding. */
class ResponseSyntaxTest {

  @ParameterizedTest
  @ValueSource(strings = {"100", "102", "200", "204", "304", "404", "503", "599"})
  void statusOfThreeDigitsIsValid(final String status) {
    assertTrue(ResponseSyntax.isStatusLine("HTTP/1.1", status));
    assertTrue(ResponseSyntax.isStatusLine("HTTP/1.0", status));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "20", "2000", "+200", "-200", "099", "600", "999", "2x0", "101"})
  void otherStatusIsInvalid(final String status) {
    assertFalse(ResponseSyntax.isStatusLine("HTTP/1.1", status));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "HTTP/2", "HTTP/2.0", "HTTP/1.2", "http/1.1", "ICY"})
  void otherVersionIsInvalid(final String version) {
    assertFalse(ResponseSyntax.isStatusLine(version, "200"));
  }

  @Test
  void noTransferEncodingAndChunksAreKnown() {
    assertTrue(ResponseSyntax.isTransferEncodingKnown(List.of()));
    assertTrue(ResponseSyntax.isTransferEncodingKnown(List.of("chunked")));
    assertTrue(ResponseSyntax.isTransferEncodingKnown(List.of(" Chunked ")));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "identity", "gzip", "gzip, chunked", "xchunked", "\"chunked\""})
  void otherTransferEncodingIsUnknown(final String encoding) {
    assertFalse(ResponseSyntax.isTransferEncodingKnown(List.of(encoding)));
  }

  @Test
  void repeatedTransferEncodingIsUnknown() {
    assertFalse(ResponseSyntax.isTransferEncodingKnown(List.of("chunked", "chunked")));
    assertFalse(ResponseSyntax.isTransferEncodingKnown(List.of("identity", "chunked")));
  }
}
