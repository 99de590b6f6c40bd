package org.bulrushweir.api;

/** Tells the time; all times and durations of the project are in milliseconds. */
@FunctionalInterface
public interface Clock {

  /**
   * Returns the current time.
   *
   * @return milliseconds since the Unix epoch; never decreases within a process
   */
  long nowMs();
}
