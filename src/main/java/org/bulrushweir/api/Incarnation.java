package org.bulrushweir.api;

/**
 * Numbers the lives of a process; a restarted process has a greater incarnation.
 *
 * @param value the start time in milliseconds since the Unix epoch
 */
public record Incarnation(long value) implements Comparable<Incarnation> {

  /** Stands for a process whose incarnation is not known yet. */
  public static final Incarnation UNKNOWN = new Incarnation(0);

  @Override
  public int compareTo(final Incarnation other) {
    return Long.compare(value, other.value);
  }
}
