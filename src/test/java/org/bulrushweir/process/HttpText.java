package org.bulrushweir.process;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * The head of a request or response, read byte by byte, so that nothing behind it is lost.
 *
 * @param text the first line and the headers
 */
record HttpText(String text) {

  private static final String HEAD_END = "\r\n\r\n";

  /**
   * Reads a head.
   *
   * @param input the bytes of a connection
   * @return the head, whose text is empty if the connection ended before its first byte
   * @throws IOException if the connection ends inside the head
   */
  static HttpText read(final InputStream input) throws IOException {
    final ByteArrayOutputStream head = new ByteArrayOutputStream();
    while (!head.toString(StandardCharsets.US_ASCII).endsWith(HEAD_END)) {
      final int value = input.read();
      if (value < 0 && head.size() == 0) {
        return new HttpText("");
      }
      if (value < 0) {
        throw new IOException("the connection ended inside a head");
      }
      head.write(value);
    }
    return new HttpText(head.toString(StandardCharsets.US_ASCII));
  }

  boolean isEmpty() {
    return text.isEmpty();
  }

  /**
   * Returns a word of the first line.
   *
   * @param index its index, counted from zero
   * @return the word
   */
  String word(final int index) {
    return text.lines().findFirst().orElseThrow().split(" ", -1)[index];
  }

  /**
   * Returns a header.
   *
   * @param name its name
   * @return its value, empty if it is missing
   */
  String header(final String name) {
    final String start = name.toLowerCase(Locale.ROOT) + ":";
    return text.lines()
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(start))
        .map(line -> line.substring(start.length()).strip())
        .findFirst()
        .orElse("");
  }

  int contentLength() {
    final String length = header("Content-Length");
    return length.isEmpty() ? 0 : Integer.parseInt(length);
  }

  /**
   * Reads the body that follows this head.
   *
   * @param input the bytes of the connection
   * @return the body without its chunk sizes
   * @throws IOException if the connection ends before the body does
   */
  String readBody(final InputStream input) throws IOException {
    if (!header("Transfer-Encoding").equals("chunked")) {
      return new String(readFully(input, contentLength()), StandardCharsets.US_ASCII);
    }
    final StringBuilder body = new StringBuilder();
    int size = Integer.parseInt(readLine(input), 16);
    while (size > 0) {
      body.append(new String(readFully(input, size), StandardCharsets.US_ASCII));
      readLine(input);
      size = Integer.parseInt(readLine(input), 16);
    }
    readLine(input);
    return body.toString();
  }

  private static byte[] readFully(final InputStream input, final int length) throws IOException {
    final byte[] bytes = input.readNBytes(length);
    if (bytes.length < length) {
      throw new IOException("the connection ended inside a body");
    }
    return bytes;
  }

  private static String readLine(final InputStream input) throws IOException {
    final StringBuilder line = new StringBuilder();
    for (int value = input.read(); value != '\n'; value = input.read()) {
      if (value < 0) {
        throw new IOException("the connection ended inside a body");
      }
      line.append((char) value);
    }
    return line.toString().strip();
  }
}
