package org.bulrushweir.api;

/**
 * Identifies a request of a caller. All attempts of the request share the id.
 *
 * @param value 64 random bits
 */
public record RequestId(long value) {

  private static final int HEX_RADIX = 16;
  private static final int HEX_LENGTH = 16;

  /**
   * Parses the text form of an id.
   *
   * @param text sixteen hexadecimal digits
   * @return the id
   * @throws IllegalArgumentException if the text doesn't have this form
   */
  public static RequestId parse(final String text) {
    if (text.length() != HEX_LENGTH) {
      throw new IllegalArgumentException("a request id has " + HEX_LENGTH + " digits: " + text);
    }
    return new RequestId(Long.parseUnsignedLong(text, HEX_RADIX));
  }

  @Override
  public String toString() {
    return String.format("%016x", value);
  }
}
