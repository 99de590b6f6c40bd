package org.bulrushweir.toml;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Finds the known name that is most similar to a misspelt one. */
public final class NearestName {

  /** The maximum Levenshtein distance, in characters, at which a name is suggested. */
  private static final int MAXIMUM_DISTANCE = 3;

  private NearestName() {}

  /**
   * Finds the known name that is most similar to a name.
   *
   * @param name the unknown name
   * @param known the known names
   * @return the most similar known name; empty if none is similar enough
   */
  public static Optional<String> find(final String name, final Collection<String> known) {
    return known.stream()
        .filter(candidate -> distance(name, candidate) <= MAXIMUM_DISTANCE)
        .min(
            Comparator.<String>comparingInt(candidate -> distance(name, candidate))
                .thenComparing(Comparator.naturalOrder()));
  }

  /**
   * Returns a hint for an error message about an unknown name.
   *
   * @param name the unknown name
   * @param known the known names
   * @return a clause that names the most similar known name or, if there is none, lists all of them
   */
  public static String suggestion(final String name, final Collection<String> known) {
    final Optional<String> nearest = find(name, known);
    if (nearest.isPresent()) {
      return "did you mean \"" + nearest.get() + "\"?";
    }
    if (known.isEmpty()) {
      return "there is none";
    }
    return "known: " + String.join(", ", known.stream().sorted().toList());
  }

  /** Computes the Levenshtein distance between two names. */
  private static int distance(final String left, final String right) {
    int[] previous = new int[right.length() + 1];
    for (int column = 0; column <= right.length(); column++) {
      previous[column] = column;
    }
    for (int row = 1; row <= left.length(); row++) {
      final int[] current = new int[right.length() + 1];
      current[0] = row;
      for (int column = 1; column <= right.length(); column++) {
        final int substitutionCost = left.charAt(row - 1) == right.charAt(column - 1) ? 0 : 1;
        final int insertOrDelete = Math.min(current[column - 1], previous[column]) + 1;
        current[column] = Math.min(insertOrDelete, previous[column - 1] + substitutionCost);
      }
      previous = current;
    }
    return previous[right.length()];
  }
}
