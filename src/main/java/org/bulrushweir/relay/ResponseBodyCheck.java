package org.bulrushweir.relay;

import java.util.Optional;

/**
 * Decides whether the body of a response is the endpoint's own and nothing else. An endpoint that
 * answers twice may write the second response, or part of it, into the body of the next one.
 */
public final class ResponseBodyCheck {

  /** What each response starts with. */
  public static final String RESPONSE_START = "HTTP/";

  private final JoinedResponseScanner scanner;
  private final ResponseFraming framing;
  private final boolean eventStream;
  private final boolean reused;

  /**
   * Whether there may be bytes of another response: of an earlier one on the connection, or of a
   * copy of this one behind a body without a stated end.
   */
  private final boolean otherPossible;

  /**
   * Creates the check of a body.
   *
   * @param framing by what the end of the body is recognised
   * @param eventStream whether the body is a stream of events
   * @param reused whether the connection has carried another response before
   */
  public ResponseBodyCheck(
      final ResponseFraming framing, final boolean eventStream, final boolean reused) {
    this.scanner = new JoinedResponseScanner(eventStream);
    this.framing = framing;
    this.eventStream = eventStream;
    this.reused = reused;
    this.otherPossible = reused || framing == ResponseFraming.CONNECTION;
  }

  /**
   * Handles the next byte of the body.
   *
   * @param value the byte
   * @return false if the body holds another response, so that it must not be forwarded
   */
  public boolean accept(final byte value) {
    scanner.accept(value);
    return !otherPossible || !scanner.isJoined();
  }

  /**
   * Finds out whether the body that has ended may hold bytes of another response.
   *
   * @param following the first bytes that were read after the body, at least as many as {@link
   *     #RESPONSE_START} has if there are so many
   * @return what is wrong, empty if the body is sound
   */
  public Optional<String> findFault(final String following) {
    if (mayHoldMore() && !eventStream && scanner.hasStatusLine()) {
      return Optional.of("the body holds the status line of a response");
    }
    if (framing == ResponseFraming.LENGTH && reused && !mayStartResponse(following)) {
      // Bytes written into the body have moved its end behind the stated length.
      return Optional.of("bytes follow the response that start no other one");
    }
    return Optional.empty();
  }

  /**
   * Returns whether the framing stays valid with bytes of another response in or behind the body.
   */
  private boolean mayHoldMore() {
    return framing == ResponseFraming.CONNECTION || framing == ResponseFraming.LENGTH && reused;
  }

  private static boolean mayStartResponse(final String following) {
    return following.startsWith(RESPONSE_START) || RESPONSE_START.startsWith(following);
  }
}
