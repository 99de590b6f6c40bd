package org.bulrushweir.runonce;

/** How far the request that a claim protects has come. */
public enum ClaimState {
  /** The holder runs the request, or is about to. */
  CLAIMED,
  /** The request ran; its outcome is stored. */
  DONE,
  /** The request may have run; its outcome will never be known. */
  UNKNOWN,
  /** The request was not run; another holder may claim it. */
  RELEASED
}
