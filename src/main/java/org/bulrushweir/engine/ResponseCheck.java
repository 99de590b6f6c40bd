package org.bulrushweir.engine;

import java.util.Optional;

/** Decides whether a response that an endpoint has begun can be taken for its answer. */
final class ResponseCheck {

  private static final int MIN_STATUS = 200;
  private static final int MAX_STATUS = 599;

  private ResponseCheck() {}

  /**
   * Finds out what is wrong with a response by its head. Where the request was cut off, the
   * connection was too: the end of a body that nothing else states is then not the answer's.
   *
   * @param status the status
   * @param endStated whether the end of the body is known without the end of the connection
   * @param requestCutOff whether the request could not be sent completely
   * @return what is wrong, empty if the response is sound as far as its head tells
   */
  static Optional<String> findFault(
      final int status, final boolean endStated, final boolean requestCutOff) {
    if (status < MIN_STATUS || status > MAX_STATUS) {
      return Optional.of("an answer can't have the status " + status);
    }
    if (requestCutOff && !endStated) {
      return Optional.of("the connection was closed before the request was sent completely");
    }
    return Optional.empty();
  }
}
