package org.bulrushweir.relay;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits the bytes of a resumable event stream into complete server-sent events. If a stream breaks
 * off within an event, another endpoint can therefore resume it with that event. Events that the
 * caller already has are dropped.
 */
public final class EventStreamFramer {

  /** The largest event that is buffered until it is complete, in bytes. */
  public static final int MAX_EVENT_BYTES = 262_144;

  private static final String ID_FIELD = "id:";

  private final EventBoundaryScanner scanner = new EventBoundaryScanner();
  private byte[] buffer = new byte[1_024];
  private int length;
  private Optional<EventId> lastEventId;

  /**
   * Creates a framer with an empty buffer.
   *
   * @param lastEventId the id of the last event that the caller already has, empty if there is none
   */
  public EventStreamFramer(final Optional<EventId> lastEventId) {
    this.lastEventId = lastEventId;
  }

  /**
   * Appends bytes of the stream and returns the events that they complete.
   *
   * @param bytes the next bytes of the stream
   * @return the bytes of the complete events that the caller does not have yet, empty if there are
   *     none
   */
  public byte[] feed(final byte[] bytes) {
    ensureCapacity(bytes.length);
    System.arraycopy(bytes, 0, buffer, length, bytes.length);
    final int scanStart = length;
    length += bytes.length;
    final ByteArrayOutputStream complete = new ByteArrayOutputStream(0);
    int start = 0;
    for (int index = scanStart; index < length; index++) {
      if (!scanner.accept(buffer[index])) {
        continue;
      }
      final int end = index + 1;
      if (isNew(start, end)) {
        complete.write(buffer, start, end - start);
      }
      start = end;
    }
    if (start > 0) {
      // Nothing is copied for a part that completes no event: events may arrive byte by byte.
      System.arraycopy(buffer, start, buffer, 0, length - start);
      length -= start;
    }
    return complete.toByteArray();
  }

  private void ensureCapacity(final int additional) {
    if (length + additional > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, length + additional));
    }
  }

  private boolean isNew(final int start, final int end) {
    // One character a byte, so that an id is sent on with the bytes that it has.
    final String event = new String(buffer, start, end - start, StandardCharsets.ISO_8859_1);
    for (final String line : event.split("\r?\n")) {
      if (line.startsWith(ID_FIELD)) {
        return EventId.parse(line.substring(ID_FIELD.length())).map(this::advanceTo).orElse(true);
      }
    }
    return true;
  }

  private boolean advanceTo(final EventId id) {
    if (lastEventId.isPresent() && !id.mayFollow(lastEventId.get())) {
      return false;
    }
    lastEventId = Optional.of(id);
    return true;
  }

  /**
   * Starts the response of another endpoint that resumes the stream. However the response before it
   * ended, its incomplete event is discarded: the new one repeats that event.
   */
  public void startResponse() {
    length = 0;
    scanner.reset();
  }

  /**
   * Returns whether the incomplete event is longer than {@link #MAX_EVENT_BYTES}. The stream must
   * not be read any further then, as an event without an end would fill the memory.
   *
   * @return true if the limit is exceeded
   */
  public boolean isEventTooLong() {
    return length > MAX_EVENT_BYTES;
  }

  /**
   * Returns whether the stream stopped at the boundary between two events.
   *
   * @return false if the buffer holds an incomplete event
   */
  public boolean isAtEventBoundary() {
    return length == 0;
  }

  /**
   * Returns whether the current response had a complete event.
   *
   * @return true after the first one, also if the caller had it before
   */
  public boolean hasEvent() {
    return scanner.hasEvent();
  }

  /**
   * Returns the id of the last event that the caller has.
   *
   * @return the id, empty if the caller has none
   */
  public Optional<EventId> lastEventId() {
    return lastEventId;
  }
}
