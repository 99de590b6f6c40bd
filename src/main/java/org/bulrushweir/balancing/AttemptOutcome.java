package org.bulrushweir.balancing;

/** The outcome of an attempt at an endpoint, as input for the endpoint's health. */
public enum AttemptOutcome {
  /** The endpoint responded to the request. */
  ANSWERED,
  /** The endpoint rejected the request and proved that it did not run it. */
  REFUSED,
  /** The endpoint sent no valid or complete response in time. */
  FAILED,
  /** No connection to the endpoint could be opened. */
  UNREACHABLE,
  /** The gateway or the caller cancelled the attempt; this says nothing about the endpoint. */
  ABANDONED
}
