package org.bulrushweir.balancing;

/** The outcome of an attempt at an endpoint, as input for the endpoint's health. */
public enum AttemptOutcome {
  /** The endpoint responded to the request. */
  ANSWERED,
  /** The endpoint rejected the request and proved that it did not run it. */
  REFUSED,
  /** The endpoint was reached but sent no valid or no complete response. */
  FAILED,
  /** No connection to the endpoint could be opened. */
  UNREACHABLE,
  /** The router or the caller cancelled the attempt; this says nothing about the endpoint. */
  ABANDONED
}
