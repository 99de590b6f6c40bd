package org.bulrushweir.api;

import java.util.Comparator;

/**
 * Describes one fault of an input together with its place.
 *
 * @param source the file or input that was read
 * @param line the line, counted from one; zero if the fault concerns the whole input
 * @param column the column, counted from one; zero if the fault concerns the whole line
 * @param message what is wrong and what would be right
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
