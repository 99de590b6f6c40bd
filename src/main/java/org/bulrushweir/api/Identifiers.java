package org.bulrushweir.api;

import java.util.regex.Pattern;

/** Checks the names that callers, operators and the platform give to things. */
public final class Identifiers {

  /** The longest allowed name, in characters. */
  public static final int MAXIMUM_LENGTH = 100;

  private static final Pattern VALID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

  private Identifiers() {}

  /**
   * Tells whether a text can serve as a name.
   *
   * @param text the text, may be null
   * @return true if it consists of letters, digits, dots, underscores and hyphens, starts with a
   *     letter or digit and is at most {@link #MAXIMUM_LENGTH} long
   */
  public static boolean isValid(final String text) {
    return text != null && text.length() <= MAXIMUM_LENGTH && VALID.matcher(text).matches();
  }

  /**
   * Checks a name.
   *
   * @param kind what the name stands for, used in the message
   * @param text the name
   * @throws IllegalArgumentException if the name is not valid
   */
  public static void requireValid(final String kind, final String text) {
    if (!isValid(text)) {
      throw new IllegalArgumentException("invalid " + kind + " name: \"" + text + '"');
    }
  }
}
