package org.bulrushweir.gateway;

import java.nio.charset.StandardCharsets;

/**
 * An answer of an endpoint of raw bytes.
 *
 * @param status the status line's code and reason
 * @param framing how the answer states its end
 * @param refusal whether the request is refused with proof that it was not run
 * @param stream whether the body is a stream of events
 * @param idLast whether the request's id stands in the last header instead of the first one
 */
record EndpointAnswer(
    String status, Framing framing, boolean refusal, boolean stream, boolean idLast) {

  private static final int EVENTS = 4;
  private static final int CODE_DIGITS = 3;

  /** How an answer states the end of its body. */
  enum Framing {
    /** By a length. */
    LENGTH,
    /** By chunks. */
    CHUNKED,
    /** By the end of its connection. */
    CONNECTION
  }

  int code() {
    return Integer.parseInt(status.substring(0, CODE_DIGITS));
  }

  /** Returns the signature of the answer to a request. */
  static String seal(final String id) {
    return "seal-of-" + id;
  }

  /** Returns the body of the answer to a request. */
  String body(final String id) {
    if (code() == 204) {
      return "";
    }
    if (!stream) {
      return "answer with status " + status + " to " + id;
    }
    final StringBuilder events = new StringBuilder();
    for (int number = 0; number < EVENTS; number++) {
      events.append(event(number, id));
    }
    return events.toString();
  }

  private static String event(final int number, final String id) {
    return "id: " + number + "\ndata: part " + number + " of " + id + "\n\n";
  }

  /** Returns the answer to a request as it is written. */
  byte[] bytes(final String id) {
    final String idHeader = "X-Request-Id: " + id + "\r\n";
    final StringBuilder text = new StringBuilder("HTTP/1.1 " + status + "\r\n");
    if (!idLast) {
      text.append(idHeader);
    }
    if (refusal) {
      text.append("X-Not-Executed: 1\r\n");
    }
    text.append("X-Response-Seal: ").append(seal(id)).append("\r\n");
    text.append("Content-Type: ")
        .append(stream ? "text/event-stream" : "text/plain")
        .append("\r\n");
    if (code() != 204) {
      text.append(framingHeader(id));
    }
    if (idLast) {
      text.append(idHeader);
    }
    text.append("\r\n").append(framedBody(id));
    return text.toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  private String framingHeader(final String id) {
    return switch (framing) {
      case LENGTH -> "Content-Length: " + body(id).length() + "\r\n";
      case CHUNKED -> "Transfer-Encoding: chunked\r\n";
      case CONNECTION -> "";
    };
  }

  private String framedBody(final String id) {
    if (framing != Framing.CHUNKED || code() == 204) {
      return body(id);
    }
    if (!stream) {
      return chunk(body(id)) + chunk("");
    }
    final StringBuilder chunks = new StringBuilder();
    for (int number = 0; number < EVENTS; number++) {
      chunks.append(chunk(event(number, id)));
    }
    return chunks.append(chunk("")).toString();
  }

  private static String chunk(final String data) {
    return Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
  }
}
