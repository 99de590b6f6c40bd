package org.bulrushweir.relay;

import java.util.Optional;

/** Decides whether a stream whose body has ended is complete. */
public final class StreamEndPolicy {

  private StreamEndPolicy() {}

  /**
   * Finds out whether a stream was cut off. A crash of an endpoint may end the connection in order,
   * which is all that ends a body without length and chunks. A cut between two events of such a
   * stream cannot be recognised.
   *
   * @param framing by what the end of the body was recognised
   * @param insideEvent whether the body ended inside an event
   * @param hasEvents whether the response had a complete event; those before it don't count, since
   *     an endpoint that resumes a stream may crash before it has sent any
   * @return how it was cut off, empty if it is complete
   */
  public static Optional<String> findCut(
      final ResponseFraming framing, final boolean insideEvent, final boolean hasEvents) {
    if (insideEvent) {
      return Optional.of("the stream ended inside an event");
    }
    if (framing == ResponseFraming.CONNECTION && !hasEvents) {
      return Optional.of("the stream ended with its connection before its first event");
    }
    return Optional.empty();
  }
}
