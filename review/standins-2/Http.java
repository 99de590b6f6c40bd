import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. Header names are in lower case. */
final class Http {

  private static final int MAX_LINE_BYTES = 65_536;

  private Http() {}

  /** The head of a message: its first line and its headers. */
  record Head(String firstLine, Map<String, String> headers) {

    String header(final String name) {
      return headers.getOrDefault(name, "");
    }

    int status() {
      return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String method() {
      return firstLine.split(" ")[0];
    }

    String target() {
      return firstLine.split(" ")[1];
    }
  }

  /** Reads a head; returns null if the connection ended before its first byte. */
  static Head readHead(final InputStream in) throws IOException {
    final String first = readLine(in);
    if (first == null) {
      return null;
    }
    final Map<String, String> headers = new LinkedHashMap<>();
    for (String line = readLine(in); !"".equals(line); line = readLine(in)) {
      if (line == null) {
        throw new IOException("the connection ended inside a head");
      }
      final int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    return new Head(first, headers);
  }

  private static String readLine(final InputStream in) throws IOException {
    final ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int value = in.read(); value != '\n'; value = in.read()) {
      if (value < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new IOException("the connection ended inside a line");
      }
      if (line.size() > MAX_LINE_BYTES) {
        throw new IOException("a line is too long");
      }
      if (value != '\r') {
        line.write(value);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /**
   * Reads a body that has a length, is chunked, or ends with its connection.
   *
   * @param body receives the bytes, also those before a failure
   */
  static void readBody(
      final InputStream in,
      final Head head,
      final boolean response,
      final ByteArrayOutputStream body)
      throws IOException {
    if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
      readChunks(in, body);
    } else if (head.headers().containsKey("content-length")) {
      readPart(in, Integer.parseInt(head.header("content-length")), body);
    } else if (response) {
      body.writeBytes(in.readAllBytes());
    }
  }

  private static void readChunks(final InputStream in, final ByteArrayOutputStream body)
      throws IOException {
    int length;
    do {
      final String size = readLine(in);
      if (size == null) {
        throw new IOException("the connection ended between two chunks");
      }
      length = Integer.parseInt(size.split(";")[0].strip(), 16);
      readPart(in, length, body);
      readLine(in);
    } while (length > 0);
  }

  private static void readPart(
      final InputStream in, final int length, final ByteArrayOutputStream body)
      throws IOException {
    final byte[] part = in.readNBytes(length);
    body.writeBytes(part);
    if (part.length < length) {
      throw new IOException("the connection ended inside a body");
    }
  }
}
