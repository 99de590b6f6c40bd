package org.bulrushweir.relay;

import java.util.Locale;
import java.util.Set;

/**
 * Finds the head of another response inside a body: a status line that is followed by a header. An
 * endpoint that writes an earlier response once more may write it between two parts of a body.
 *
 * <p>A text about HTTP may hold a status line as well. In an event stream it then stands behind the
 * name of a field, and the next line is a field too, so that a line that starts like a status line
 * is part of another response, however soon that breaks off.
 */
public final class JoinedResponseScanner {

  /** The bytes after a status in which the line must end and the name of a header must follow. */
  private static final int MAX_HEAD_BYTES = 256;

  /** The bytes of a status line that other text does not end with. */
  private static final int MIN_START_BYTES = 3;

  private static final Set<String> EVENT_FIELDS = Set.of("data", "event", "id", "retry");

  private final StatusLineScanner statusLine = new StatusLineScanner();
  private final StringBuilder name = new StringBuilder();
  private final boolean eventStream;
  private int lineBytes;
  private Position position = Position.BODY;
  private int headBytes;
  private boolean statusLineFound;
  private boolean joined;

  /** Where the last byte stood. */
  private enum Position {
    /** In the body. */
    BODY,
    /** Behind the status of a status line. */
    STATUS_LINE,
    /** In what may be the name of a header, in the line after a status line. */
    HEADER_NAME
  }

  /**
   * Creates a scanner at the start of a body.
   *
   * @param eventStream whether the body is a stream of events
   */
  public JoinedResponseScanner(final boolean eventStream) {
    this.eventStream = eventStream;
  }

  /**
   * Handles the next byte of the body.
   *
   * @param value the byte
   */
  public void accept(final byte value) {
    final boolean statusLineEnds = statusLine.accept(value);
    lineBytes = value == '\n' ? 0 : lineBytes + 1;
    joined |= eventStream && lineBytes == MIN_START_BYTES && statusLine.matched() == lineBytes;
    if (statusLineEnds) {
      statusLineFound = true;
      position = Position.STATUS_LINE;
      headBytes = 0;
      return;
    }
    if (position == Position.BODY) {
      return;
    }
    headBytes++;
    if (headBytes > MAX_HEAD_BYTES) {
      position = Position.BODY;
      return;
    }
    if (position == Position.HEADER_NAME) {
      acceptName((char) (value & 0xFF));
      return;
    }
    if (value == '\n') {
      position = Position.HEADER_NAME;
      name.setLength(0);
    }
  }

  private void acceptName(final char letter) {
    if (letter == ':') {
      joined |= !name.isEmpty() && !EVENT_FIELDS.contains(name.toString().toLowerCase(Locale.ROOT));
      position = Position.BODY;
      return;
    }
    if (letter != '-' && letter != '_' && !Character.isLetterOrDigit(letter)) {
      position = Position.BODY;
      return;
    }
    name.append(letter);
  }

  /**
   * Returns whether the body holds the head of another response.
   *
   * @return true once a status line and the name of a header have been found
   */
  public boolean isJoined() {
    return joined;
  }

  /**
   * Returns whether the body holds a status line, or ends with the start of one.
   *
   * @return true also if no header follows
   */
  public boolean hasStatusLine() {
    return statusLineFound || statusLine.matched() >= MIN_START_BYTES;
  }
}
