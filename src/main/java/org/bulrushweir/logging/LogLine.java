package org.bulrushweir.logging;

/** A line of the log that is encoded when it is written. */
@FunctionalInterface
public interface LogLine {

  /**
   * Encodes the line.
   *
   * @return the text without a line break
   */
  String text();
}
