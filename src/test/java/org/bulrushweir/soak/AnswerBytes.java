package org.bulrushweir.soak;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** Writes answers as bytes. */
final class AnswerBytes {

  private AnswerBytes() {}

  /**
   * Writes an answer to a call.
   *
   * @param answer the answer
   * @param proven whether it proves that the request was not run
   * @return the bytes
   */
  static byte[] call(final Answer answer, final boolean proven) {
    final List<String> headers = new ArrayList<>();
    headers.add("Content-Length: " + answer.body().length());
    if (proven) {
      headers.add("X-Not-Executed: 1");
    }
    return bytes(head(answer, headers) + answer.body());
  }

  /**
   * Writes the head of a stream.
   *
   * @param answer the answer
   * @return the bytes
   */
  static byte[] streamHead(final Answer answer) {
    return bytes(
        head(answer, List.of("Content-Type: text/event-stream", "Transfer-Encoding: chunked")));
  }

  /**
   * Writes a chunk.
   *
   * @param text its text, empty for the last one
   * @return the bytes
   */
  static byte[] chunk(final String text) {
    return bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  /** The order of the headers differs from answer to answer. */
  private static String head(final Answer answer, final List<String> headers) {
    final List<String> lines = new ArrayList<>(headers);
    lines.add("X-Request-Id: " + answer.requestId());
    lines.add("X-Response-Seal: " + answer.seal());
    Collections.shuffle(lines, new Random(answer.seal().hashCode()));
    return "HTTP/1.1 " + answer.status() + " Answer\r\n" + String.join("\r\n", lines) + "\r\n\r\n";
  }

  private static byte[] bytes(final String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
