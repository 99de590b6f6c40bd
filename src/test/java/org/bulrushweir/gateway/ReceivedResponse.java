package org.bulrushweir.gateway;

import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * A response as a caller reads it, by the framing that HTTP prescribes.
 *
 * @param status the status
 * @param head the status line and the headers, in lower case
 * @param body the body as far as it has arrived
 * @param complete whether the response has ended, by its length, its last chunk or its status
 * @param rest the bytes after its end, empty if there are none
 */
record ReceivedResponse(int status, String head, String body, boolean complete, String rest) {

  private static final String LINE_END = "\r\n";
  private static final String HEAD_END = "\r\n\r\n";
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 ([1-5]\\d\\d) [^\r\n]*");

  /**
   * Reads a response.
   *
   * @param bytes all that has arrived
   * @param toHead whether the request was a HEAD request
   * @return the response, empty if its head is not complete
   * @throws IllegalStateException if the bytes are no response, or one that ends with its
   *     connection
   */
  static Optional<ReceivedResponse> read(final String bytes, final boolean toHead) {
    final int headEnd = bytes.indexOf(HEAD_END);
    if (headEnd < 0) {
      return Optional.empty();
    }
    final String statusLine = bytes.substring(0, bytes.indexOf(LINE_END));
    if (!STATUS_LINE.matcher(statusLine).matches()) {
      throw new IllegalStateException("no status line: " + statusLine);
    }
    final int status = Integer.parseInt(statusLine.substring(9, 12));
    final String head = bytes.substring(0, headEnd + 2).toLowerCase(Locale.ROOT);
    final String rest = bytes.substring(headEnd + HEAD_END.length());
    if (toHead || status == 204 || status == 304) {
      return Optional.of(new ReceivedResponse(status, head, "", true, rest));
    }
    final Optional<String> length = header(head, "content-length");
    final Optional<String> encoding = header(head, "transfer-encoding");
    if (length.isPresent() == encoding.isPresent()) {
      throw new IllegalStateException("no unambiguous framing: " + head);
    }
    if (encoding.isPresent()) {
      return Optional.of(readChunks(status, head, rest));
    }
    final int bodyLength = Integer.parseInt(length.get());
    final boolean complete = rest.length() >= bodyLength;
    return Optional.of(
        new ReceivedResponse(
            status,
            head,
            complete ? rest.substring(0, bodyLength) : rest,
            complete,
            complete ? rest.substring(bodyLength) : ""));
  }

  private static ReceivedResponse readChunks(
      final int status, final String head, final String bytes) {
    final StringBuilder body = new StringBuilder();
    String rest = bytes;
    while (rest.contains(LINE_END)) {
      final int lineEnd = rest.indexOf(LINE_END);
      final int length = Integer.parseInt(rest.substring(0, lineEnd), 16);
      final int start = lineEnd + LINE_END.length();
      final int end = start + length;
      if (rest.length() < end + LINE_END.length()) {
        body.append(rest, start, Math.min(rest.length(), end));
        break;
      }
      body.append(rest, start, end);
      if (!rest.startsWith(LINE_END, end)) {
        throw new IllegalStateException("no end of a chunk: " + bytes);
      }
      rest = rest.substring(end + LINE_END.length());
      if (length == 0) {
        return new ReceivedResponse(status, head, body.toString(), true, rest);
      }
    }
    return new ReceivedResponse(status, head, body.toString(), false, "");
  }

  private static Optional<String> header(final String head, final String name) {
    return head.lines()
        .filter(line -> line.startsWith(name + ":"))
        .map(line -> line.substring(name.length() + 1).strip())
        .findFirst();
  }

  /** Returns a header in lower case, empty if it is missing. */
  Optional<String> header(final String name) {
    return header(head, name);
  }
}
