package org.bulrushweir.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * The head of a request as an endpoint of raw bytes reads it.
 *
 * @param text the request line and the headers
 */
record RawRequest(String text) {

  private static final String HEAD_END = "\r\n\r\n";

  /** Reads a head up to its empty line. */
  static RawRequest read(final InputStream input) throws IOException {
    final ByteArrayOutputStream head = new ByteArrayOutputStream();
    while (!head.toString(StandardCharsets.US_ASCII).endsWith(HEAD_END)) {
      final int value = input.read();
      if (value < 0) {
        throw new IOException("the connection was closed before a request");
      }
      head.write(value);
    }
    return new RawRequest(head.toString(StandardCharsets.US_ASCII));
  }

  /** Returns a header, empty if it is missing. */
  String header(final String name) {
    final String start = name.toLowerCase(Locale.ROOT) + ":";
    return text.lines()
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(start))
        .map(line -> line.substring(start.length()).strip())
        .findFirst()
        .orElse("");
  }

  String id() {
    return header("X-Request-Id");
  }

  int contentLength() {
    final String length = header("Content-Length");
    return length.isEmpty() ? 0 : Integer.parseInt(length);
  }
}
