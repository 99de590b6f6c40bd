package org.bulrushweir.runonce;

/** State of the request that holds a claim. The constants are stored by name. */
public enum ClaimState {
  /** The holder is running the request or about to start it. */
  CLAIMED,
  /** The request ran; its outcome is stored. */
  DONE,
  /** The request may have run; its answer is lost. */
  UNKNOWN,
  /** The request was not run; another holder may claim it. */
  RELEASED
}
