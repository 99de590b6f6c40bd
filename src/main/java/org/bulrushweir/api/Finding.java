package org.bulrushweir.api;

import java.util.Comparator;

/**
 * Describes one error in an input together with its location.
 *
 * @param source the name of the file or other input
 * @param line the line number, counted from one; zero if the error concerns the whole input
 * @param column the column number, counted from one; zero if the error concerns the whole line
 * @param message the error and, where possible, what is allowed instead
 */
public record Finding(String source, int line, int column, String message)
    implements Comparable<Finding> {

  private static final Comparator<Finding> ORDER =
      Comparator.comparing(Finding::source)
          .thenComparingInt(Finding::line)
          .thenComparingInt(Finding::column)
          .thenComparing(Finding::message);

  @Override
  public int compareTo(final Finding other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    if (line == 0) {
      return source + ": " + message;
    }
    return source + ":" + line + ":" + column + ": " + message;
  }
}
