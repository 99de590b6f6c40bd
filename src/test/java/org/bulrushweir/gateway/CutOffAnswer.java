package org.bulrushweir.gateway;

import java.util.Set;
import org.bulrushweir.relay.ResponseFraming;

/**
 * An endpoint's answer to a request, of which the first bytes are sent.
 *
 * @param status the status
 * @param seal the signature, which differs between the answers of a test
 * @param framing by what the end of the body is recognised
 * @param traits in what it differs from a usual answer
 * @param body the body
 * @param bodyless whether it has no body, whatever the framing, due to its status or to the request
 */
record CutOffAnswer(
    int status,
    String seal,
    ResponseFraming framing,
    Set<Trait> traits,
    String body,
    boolean bodyless) {

  private static final int FIRST_SUCCESS = 200;
  private static final int NO_CONTENT = 204;
  private static final int FIRST_REDIRECT = 300;
  private static final int NOT_MODIFIED = 304;

  /** In what an answer differs from a usual one. */
  enum Trait {
    /** It proves that the request was not run. */
    NOT_RUN,
    /** It does not name its request. */
    UNNAMED,
    /** It has no signature. */
    UNSEALED,
    /** Its body is encoded. */
    ENCODED,
    /** An informational response comes before it. */
    AFTER_CONTINUE
  }

  /** How the connection goes on after the part of an answer that is sent. */
  enum End {
    /** It ends in order. */
    CLOSED,
    /** The endpoint ends its direction only. */
    HALF_CLOSED,
    /** It is reset. */
    RESET,
    /** Nothing more arrives. */
    SILENT
  }

  static CutOffAnswer of(
      final int status,
      final String seal,
      final ResponseFraming framing,
      final Set<Trait> traits,
      final String body,
      final boolean toHead) {
    final boolean bodyless = toHead || status == NO_CONTENT || status == NOT_MODIFIED;
    return new CutOffAnswer(status, seal, framing, traits, bodyless ? "" : body, bodyless);
  }

  boolean has(final Trait trait) {
    return traits.contains(trait);
  }

  /** Returns all that precedes the body. */
  String head(final String requestId) {
    final StringBuilder head = new StringBuilder();
    if (has(Trait.AFTER_CONTINUE)) {
      head.append("HTTP/1.1 100 Continue\r\n\r\n");
    }
    head.append("HTTP/1.1 " + status + " Status\r\n");
    if (!has(Trait.UNSEALED)) {
      head.append("X-Response-Seal: " + seal + "\r\n");
    }
    if (!has(Trait.UNNAMED)) {
      head.append("X-Request-Id: " + requestId + "\r\n");
    }
    if (has(Trait.ENCODED)) {
      head.append("Content-Encoding: gzip\r\n");
    }
    if (has(Trait.NOT_RUN)) {
      head.append("X-Not-Executed: 1\r\n");
    }
    head.append(
        switch (framing) {
          case LENGTH -> status == NO_CONTENT ? "" : "Content-Length: " + body.length() + "\r\n";
          case CHUNKED -> bodyless ? "" : "Transfer-Encoding: chunked\r\n";
          case CONNECTION -> "";
        });
    return head.append("\r\n").toString();
  }

  /** Returns the bytes of the whole answer. */
  String bytes(final String requestId) {
    final String head = head(requestId);
    if (framing != ResponseFraming.CHUNKED || bodyless) {
      return head + body;
    }
    final int half = body.length() / 2;
    return head
        + chunk(body.substring(0, half))
        + chunk(body.substring(half))
        + "0\r\nX-Trailer: t\r\n\r\n";
  }

  private static String chunk(final String text) {
    return text.isEmpty() ? "" : Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  /** Returns whether a caller may get it as a success. */
  boolean isProvenSuccess() {
    return isSuccess() && !has(Trait.UNNAMED) && !has(Trait.UNSEALED) && !has(Trait.ENCODED);
  }

  boolean isSuccess() {
    return isSuccess(status);
  }

  static boolean isSuccess(final int status) {
    return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
  }
}
