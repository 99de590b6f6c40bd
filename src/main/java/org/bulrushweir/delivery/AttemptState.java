package org.bulrushweir.delivery;

/** State of an attempt at its endpoint. */
public enum AttemptState {
  /** The attempt waits for a slot. */
  QUEUED,
  /** The attempt is running. */
  RUNNING,
  /** The attempt ran to its end, or failed while it was running. */
  ENDED,
  /** The attempt was not run and never will be. */
  NOT_RUN;

  /**
   * Returns whether the state is final.
   *
   * @return true if no transition to another state is possible
   */
  public boolean isFinal() {
    return this == ENDED || this == NOT_RUN;
  }
}
