package org.bulrushweir.relay;

/** Finds the ends of server-sent events in a stream that arrives in pieces. */
public final class EventBoundaryScanner {

  private static final byte NEWLINE = '\n';
  private static final byte CARRIAGE_RETURN = '\r';

  private boolean lineEmpty = true;
  private boolean insideEvent;
  private boolean eventSeen;

  /** Creates a scanner at the start of a stream. */
  public EventBoundaryScanner() {}

  /**
   * Handles the next byte of the stream.
   *
   * @param value the byte
   * @return true if it ends an empty line, and thereby the event before it if there is one
   */
  public boolean accept(final byte value) {
    if (value == CARRIAGE_RETURN) {
      return false;
    }
    if (value != NEWLINE) {
      lineEmpty = false;
      insideEvent = true;
      return false;
    }
    if (!lineEmpty) {
      lineEmpty = true;
      return false;
    }
    eventSeen |= insideEvent;
    insideEvent = false;
    return true;
  }

  /** Starts over, as at the start of a stream. */
  public void reset() {
    lineEmpty = true;
    insideEvent = false;
    eventSeen = false;
  }

  /**
   * Returns whether an event has started and not ended.
   *
   * @return false at the boundary between two events
   */
  public boolean isInsideEvent() {
    return insideEvent;
  }

  /**
   * Returns whether the stream had a complete event.
   *
   * @return true after the first one
   */
  public boolean hasEvent() {
    return eventSeen;
  }
}
