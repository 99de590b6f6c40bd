package org.bulrushweir.testing;

import java.nio.charset.StandardCharsets;

/**
 * An answer as a server of raw bytes writes it.
 *
 * @param status the HTTP status
 * @param headers its own headers, each with its end of line
 * @param body the body, ASCII
 */
public record RawAnswer(int status, String headers, String body) {

  private static final int STATUS_OK = 200;

  /**
   * Creates an answer without headers of its own.
   *
   * @param status the HTTP status
   * @param body the body, ASCII
   */
  public RawAnswer(final int status, final String body) {
    this(status, "", body);
  }

  /**
   * Returns a successful answer.
   *
   * @param body the body
   * @return the answer
   */
  public static RawAnswer ok(final String body) {
    return new RawAnswer(STATUS_OK, body);
  }

  /**
   * Returns the status line and the headers with the empty line after them.
   *
   * @return the head
   */
  String head() {
    return "HTTP/1.1 "
        + status
        + " Status\r\nContent-Type: application/json\r\nContent-Length: "
        + body.length()
        + "\r\n"
        + headers
        + "\r\n";
  }

  /**
   * Returns the whole answer.
   *
   * @return the bytes
   */
  byte[] bytes() {
    return (head() + body).getBytes(StandardCharsets.US_ASCII);
  }
}
