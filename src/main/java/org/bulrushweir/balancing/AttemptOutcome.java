package org.bulrushweir.balancing;

/** What became of a request at an endpoint, as far as it tells of the endpoint's health. */
public enum AttemptOutcome {
  /** The endpoint answered. */
  ANSWERED,
  /** The endpoint has proved that it did not run the request. */
  REFUSED,
  /** The endpoint was reached but gave no proper answer. */
  FAILED,
  /** No connection could be opened. */
  UNREACHABLE,
  /** This router or its caller gave the request up. */
  ABANDONED
}
