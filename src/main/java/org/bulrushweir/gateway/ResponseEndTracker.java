package org.bulrushweir.gateway;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import org.bulrushweir.relay.EventBoundaryScanner;
import org.bulrushweir.relay.EventStreamFramer;
import org.bulrushweir.relay.ResponseFraming;
import org.bulrushweir.relay.StreamEndPolicy;

/** Tracks what tells whether the response to an attempt is complete when its body ends. */
final class ResponseEndTracker {

  private final EventBoundaryScanner scanner = new EventBoundaryScanner();
  private final RoutedRequest routed;
  private final EventStreamFramer framer;
  private Optional<ResponseFraming> framing = Optional.empty();
  private boolean stream;

  /**
   * Creates a tracker.
   *
   * @param routed the request
   * @param framer splits a resumable stream into events
   */
  ResponseEndTracker(final RoutedRequest routed, final EventStreamFramer framer) {
    this.routed = routed;
    this.framer = framer;
  }

  /**
   * Handles the head of the response.
   *
   * @param receivedFraming by what the end of the body is recognised
   * @param success whether the status is a success; other responses are no streams
   */
  void onHead(final ResponseFraming receivedFraming, final boolean success) {
    framing = Optional.of(receivedFraming);
    stream = routed.isStream() && success;
  }

  /**
   * Handles a part of the body that does not go through the framer.
   *
   * @param part the data, which is not consumed
   */
  void onPart(final ByteBuf part) {
    if (stream) {
      part.forEachByte(
          value -> {
            scanner.accept(value);
            return true;
          });
    }
  }

  /**
   * Returns by what the end of the response is recognised.
   *
   * @return the framing, empty before the head of the response has arrived
   */
  Optional<ResponseFraming> framing() {
    return framing;
  }

  /**
   * Returns whether the part of a stream that has arrived ends inside an event.
   *
   * @return false for responses that are no streams
   */
  boolean isInsideEvent() {
    return routed.forwardsCompleteEvents() ? !framer.isAtEventBoundary() : scanner.isInsideEvent();
  }

  /**
   * Finds out whether the response was cut off. Must be called when its body has ended.
   *
   * @return how it was cut off, empty if it is complete
   */
  Optional<String> findCut() {
    if (!stream) {
      return Optional.empty();
    }
    final boolean hasEvents =
        routed.forwardsCompleteEvents() ? framer.hasEvent() : scanner.hasEvent();
    return StreamEndPolicy.findCut(framing.orElseThrow(), isInsideEvent(), hasEvents);
  }
}
