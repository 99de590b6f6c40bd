package org.bulrushweir.testing;

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
public record RawRequest(String text) {

  private static final String HEAD_END = "\r\n\r\n";

  /**
   * Reads a head up to its empty line.
   *
   * @param input the bytes of the connection
   * @return the head
   * @throws IOException if the connection ends before
   */
  public static RawRequest read(final InputStream input) throws IOException {
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

  /**
   * Returns a header.
   *
   * @param name its name in any case
   * @return its value, empty if it is missing
   */
  public String header(final String name) {
    final String start = name.toLowerCase(Locale.ROOT) + ":";
    return text.lines()
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(start))
        .map(line -> line.substring(start.length()).strip())
        .findFirst()
        .orElse("");
  }

  /**
   * Returns the id that the caller has given the request.
   *
   * @return the id, empty if it is missing
   */
  public String id() {
    return header("X-Request-Id");
  }

  /**
   * Returns the stated length of the body.
   *
   * @return the length in bytes, zero if none is stated
   */
  public int contentLength() {
    final String length = header("Content-Length");
    return length.isEmpty() ? 0 : Integer.parseInt(length);
  }
}
