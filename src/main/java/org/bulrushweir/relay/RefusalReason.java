package org.bulrushweir.relay;

/** The reason why a caller receives a refusal instead of an endpoint's response. */
public enum RefusalReason {
  /** The request was certainly not run and will not be run; the caller may retry it. */
  NOT_RUN,
  /** The request may have run, but no complete response was received. */
  FAILED,
  /** The request may have run, and its deadline has passed. */
  TIMED_OUT
}
