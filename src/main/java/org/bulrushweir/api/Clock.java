package org.bulrushweir.api;

/** Provides the current time. All times and durations in the project are in milliseconds. */
@FunctionalInterface
public interface Clock {

  /**
   * Returns the current time.
   *
   * @return milliseconds since the Unix epoch; within a process the value never decreases
   */
  long nowMs();
}
