package org.bulrushweir.relay;

/**
 * Finds the status line of an HTTP/1 response in bytes that arrive in pieces: the version, a space
 * and a status of three digits.
 */
public final class StatusLineScanner {

  private static final String VERSION = "HTTP/1.";

  /** The bytes of the version, of the space behind it and of the status. */
  private static final int STATUS_LINE_BYTES = VERSION.length() + "1 200".length();

  private static final int SPACE_INDEX = VERSION.length() + 1;

  private int matched;

  /** Creates a scanner that has matched nothing. */
  public StatusLineScanner() {}

  /**
   * Handles the next byte.
   *
   * @param value the byte
   * @return true if it ends the status of a status line
   */
  public boolean accept(final byte value) {
    if (matches(value)) {
      matched++;
    } else {
      // No other byte of the pattern is an H, so that a new match starts with this byte or later.
      matched = value == VERSION.charAt(0) ? 1 : 0;
    }
    if (matched < STATUS_LINE_BYTES) {
      return false;
    }
    matched = 0;
    return true;
  }

  /**
   * Returns how much of a status line the last bytes are the start of.
   *
   * @return the number of bytes, zero if they start none
   */
  public int matched() {
    return matched;
  }

  private boolean matches(final byte value) {
    if (matched < VERSION.length()) {
      return value == VERSION.charAt(matched);
    }
    return matched == SPACE_INDEX ? value == ' ' : value >= '0' && value <= '9';
  }
}
