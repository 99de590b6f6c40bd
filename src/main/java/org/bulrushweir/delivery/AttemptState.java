package org.bulrushweir.delivery;

/** How far an attempt has come at its endpoint. */
public enum AttemptState {
  /** It waits for a slot. */
  QUEUED,
  /** It runs. */
  RUNNING,
  /** It ran, wholly or in part. */
  ENDED,
  /** It was not run and never will be. */
  NOT_RUN;

  /**
   * Tells whether the state is final.
   *
   * @return true if it will not change any more
   */
  public boolean isFinal() {
    return this == ENDED || this == NOT_RUN;
  }
}
