package org.bulrushweir.api;

/**
 * Identifies one run of a process. A restarted process has a greater incarnation than before.
 *
 * @param value the start time of the process, in milliseconds since the Unix epoch
 */
public record Incarnation(long value) implements Comparable<Incarnation> {

  /** The incarnation of a process of which it is not known yet. */
  public static final Incarnation UNKNOWN = new Incarnation(0);

  @Override
  public int compareTo(final Incarnation other) {
    return Long.compare(value, other.value);
  }
}
