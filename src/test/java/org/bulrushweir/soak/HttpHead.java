package org.bulrushweir.soak;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * The head of a message as it came.
 *
 * @param startLine its first line
 * @param headers the headers by their names in lowercase
 */
record HttpHead(String startLine, Map<String, String> headers) {

  private static final int MAX_BYTES = 65_536;

  /**
   * Reads a head.
   *
   * @param input where it comes from
   * @return the head, null if the connection was closed before it
   * @throws IOException if the connection breaks inside it
   */
  static HttpHead read(final InputStream input) throws IOException {
    final String startLine = line(input);
    if (startLine == null) {
      return null;
    }
    final Map<String, String> headers = new TreeMap<>();
    for (String line = line(input); line != null; line = line(input)) {
      if (line.isEmpty()) {
        return new HttpHead(startLine, headers);
      }
      final int colon = line.indexOf(':');
      if (colon <= 0) {
        throw new MalformedMessageException("a header without a name: " + line);
      }
      headers.merge(
          line.substring(0, colon).toLowerCase(Locale.ROOT),
          line.substring(colon + 1).strip(),
          (first, second) -> first + ", " + second);
    }
    throw new EOFException("closed inside a head");
  }

  /** Reads a line without its end; null if the input ends before it. */
  private static String line(final InputStream input) throws IOException {
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int value = input.read(); value >= 0; value = input.read()) {
      if (value == '\n') {
        return bytes.toString(StandardCharsets.ISO_8859_1).stripTrailing();
      }
      bytes.write(value);
      if (bytes.size() > MAX_BYTES) {
        throw new MalformedMessageException("a line without an end");
      }
    }
    if (bytes.size() > 0) {
      throw new EOFException("closed inside a line");
    }
    return null;
  }

  String header(final String name) {
    return headers.getOrDefault(name, "");
  }

  /**
   * Reads the status of a response.
   *
   * @return the status
   * @throws MalformedMessageException if this is the head of no response
   */
  int status() throws MalformedMessageException {
    final String[] words = startLine.split(" ", 3);
    if (words.length < 2 || !"HTTP/1.1".equals(words[0]) || !words[1].matches("[1-5]\\d\\d")) {
      throw new MalformedMessageException("no status line: " + startLine);
    }
    return Integer.parseInt(words[1]);
  }

  /**
   * Reads the body.
   *
   * @param input where it comes from
   * @param bytes takes what has come, also if the connection breaks
   * @throws IOException if the connection breaks before its end
   */
  void readBody(final InputStream input, final ByteArrayOutputStream bytes) throws IOException {
    if ("chunked".equals(header("transfer-encoding"))) {
      readChunks(input, bytes);
    } else if (!header("content-length").isEmpty()) {
      copy(input, bytes, number(header("content-length"), 10));
    } else if (startLine.startsWith("HTTP/")) {
      input.transferTo(bytes);
    }
  }

  private static void readChunks(final InputStream input, final ByteArrayOutputStream bytes)
      throws IOException {
    while (true) {
      final String size = line(input);
      if (size == null) {
        throw new EOFException("closed between chunks");
      }
      final long count = number(size, 16);
      copy(input, bytes, count);
      if (!"".equals(line(input))) {
        throw new EOFException("a chunk without its end");
      }
      if (count == 0) {
        return;
      }
    }
  }

  private static void copy(
      final InputStream input, final ByteArrayOutputStream bytes, final long count)
      throws IOException {
    final byte[] buffer = new byte[8_192];
    long left = count;
    while (left > 0) {
      final int read = input.read(buffer, 0, (int) Math.min(left, buffer.length));
      if (read < 0) {
        throw new EOFException("closed inside a body");
      }
      bytes.write(buffer, 0, read);
      left -= read;
    }
  }

  private static long number(final String text, final int radix) throws IOException {
    try {
      return Long.parseLong(text, radix);
    } catch (NumberFormatException e) {
      throw new MalformedMessageException("no length: " + text);
    }
  }
}
