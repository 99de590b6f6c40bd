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

  /** Reads a body that has a length, is chunked, or ends with its connection. */
  static byte[] readBody(final InputStream in, final Head head, final boolean response)
      throws IOException {
    if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
      return readChunks(in);
    }
    if (head.headers().containsKey("content-length")) {
      final int length = Integer.parseInt(head.header("content-length"));
      final byte[] body = in.readNBytes(length);
      if (body.length < length) {
        throw new IOException("the connection ended inside a body");
      }
      return body;
    }
    return response ? in.readAllBytes() : new byte[0];
  }

  private static byte[] readChunks(final InputStream in) throws IOException {
    final ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      final String size = readLine(in);
      if (size == null) {
        throw new IOException("the connection ended between two chunks");
      }
      final int length = Integer.parseInt(size.split(";")[0].strip(), 16);
      final byte[] chunk = in.readNBytes(length);
      if (chunk.length < length) {
        throw new IOException("the connection ended inside a chunk");
      }
      body.writeBytes(chunk);
      readLine(in);
      if (length == 0) {
        return body.toByteArray();
      }
    }
  }
}
