package org.bulrushweir.api;

import java.util.regex.Pattern;

/**
 * Validates the names that callers, operators and the platform give to endpoints, services,
 * organisations and the like.
 */
public final class Identifiers {

  /** The maximum length of a name, in characters. */
  public static final int MAXIMUM_LENGTH = 100;

  private static final Pattern VALID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

  private Identifiers() {}

  /**
   * Returns whether a text is a valid name.
   *
   * @param text the text; may be null
   * @return true if it consists of letters, digits, dots, underscores and hyphens, starts with a
   *     letter or digit and is at most {@link #MAXIMUM_LENGTH} characters long
   */
  public static boolean isValid(final String text) {
    return text != null && text.length() <= MAXIMUM_LENGTH && VALID.matcher(text).matches();
  }

  /**
   * Throws an exception if a name is not valid.
   *
   * @param kind the kind of entity that has the name, for the exception's message
   * @param text the name; may be null
   * @throws IllegalArgumentException if the name is not valid
   */
  public static void requireValid(final String kind, final String text) {
    if (!isValid(text)) {
      throw new IllegalArgumentException("invalid " + kind + " name: \"" + text + '"');
    }
  }
}
