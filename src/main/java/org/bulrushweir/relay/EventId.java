package org.bulrushweir.relay;

import com.google.common.base.CharMatcher;
import java.util.Optional;

/**
 * The id of an event of a stream, as its endpoint has written it. Ids that are whole numbers are
 * compared by their values, which may have any number of digits.
 *
 * @param text the id; each of its characters stands for one byte
 */
public record EventId(String text) {

  private static final CharMatcher DIGIT = CharMatcher.inRange('0', '9');
  private static final CharMatcher ZERO = CharMatcher.is('0');

  /** The characters that the value of a header can't have. */
  private static final CharMatcher CONTROL =
      CharMatcher.inRange('\0', '\u001f').and(CharMatcher.isNot('\t')).or(CharMatcher.is('\u007f'));

  /**
   * Reads an id.
   *
   * @param text the id with the white space around it, each byte as one character
   * @return the id, empty if no request could name it
   */
  public static Optional<EventId> parse(final String text) {
    final String stripped = text.strip();
    return stripped.isEmpty() || CONTROL.matchesAnyOf(stripped)
        ? Optional.empty()
        : Optional.of(new EventId(stripped));
  }

  /**
   * Returns whether the event with this id may come behind another one of its stream.
   *
   * @param other the id of the other event
   * @return false if it is the same event or an earlier one; true if the order can't be told
   */
  public boolean mayFollow(final EventId other) {
    if (!isWholeNumber() || !other.isWholeNumber()) {
      return !equals(other);
    }
    final String digits = significantDigits();
    final String otherDigits = other.significantDigits();
    return digits.length() == otherDigits.length()
        ? digits.compareTo(otherDigits) > 0
        : digits.length() > otherDigits.length();
  }

  private boolean isWholeNumber() {
    return DIGIT.matchesAllOf(text);
  }

  private String significantDigits() {
    return ZERO.trimLeadingFrom(text);
  }
}
