package org.bulrushweir.relay;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Cuts the bytes of a resumable stream into whole events, so that a stream that breaks off within
 * an event can go on at another endpoint with that event. Events that the caller already has are
 * left out.
 */
public final class EventStreamFramer {

  private static final byte NEWLINE = '\n';
  private static final byte CARRIAGE_RETURN = '\r';
  private static final String ID_FIELD = "id:";

  private byte[] buffer = new byte[1_024];
  private int length;
  private long lastEventId;

  /**
   * Creates a cutter.
   *
   * @param lastEventId the id of the last event that the caller already has, negative for none
   */
  public EventStreamFramer(final long lastEventId) {
    this.lastEventId = lastEventId;
  }

  /**
   * Takes bytes of the stream.
   *
   * @param bytes the bytes
   * @return the bytes of the events that are whole now and new to the caller, may be empty
   */
  public byte[] feed(final byte[] bytes) {
    ensure(bytes.length);
    System.arraycopy(bytes, 0, buffer, length, bytes.length);
    length += bytes.length;
    final byte[] whole = new byte[length];
    int wholeLength = 0;
    int start = 0;
    int end = endOfEvent(start);
    while (end >= 0) {
      if (isNew(start, end)) {
        System.arraycopy(buffer, start, whole, wholeLength, end - start);
        wholeLength += end - start;
      }
      start = end;
      end = endOfEvent(start);
    }
    System.arraycopy(buffer, start, buffer, 0, length - start);
    length -= start;
    return Arrays.copyOf(whole, wholeLength);
  }

  private void ensure(final int more) {
    if (length + more > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, length + more));
    }
  }

  /** Returns where the event that begins at a place ends, negative if it is not whole. */
  private int endOfEvent(final int start) {
    boolean lineIsEmpty = true;
    for (int index = start; index < length; index++) {
      final byte value = buffer[index];
      if (value == NEWLINE) {
        if (lineIsEmpty && index > start) {
          return index + 1;
        }
        lineIsEmpty = true;
      } else if (value != CARRIAGE_RETURN) {
        lineIsEmpty = false;
      }
    }
    return -1;
  }

  private boolean isNew(final int start, final int end) {
    final String event = new String(buffer, start, end - start, StandardCharsets.UTF_8);
    for (final String line : event.split("\r?\n")) {
      if (line.startsWith(ID_FIELD)) {
        return advance(line.substring(ID_FIELD.length()).strip());
      }
    }
    return true;
  }

  private boolean advance(final String text) {
    try {
      final long id = Long.parseLong(text);
      final boolean newer = id > lastEventId;
      lastEventId = Math.max(lastEventId, id);
      return newer;
    } catch (NumberFormatException e) {
      // An id of another form can't be compared; the event is passed on as it is.
      return true;
    }
  }

  /** Forgets the part of an event that came before the stream broke off. */
  public void discardPartialEvent() {
    length = 0;
  }

  /**
   * Tells whether the stream ended between two events.
   *
   * @return false if a part of an event is left
   */
  public boolean isAtEventBoundary() {
    return length == 0;
  }

  /**
   * Returns the id of the last event that the caller has.
   *
   * @return the id, negative if there is none
   */
  public long lastEventId() {
    return lastEventId;
  }
}
