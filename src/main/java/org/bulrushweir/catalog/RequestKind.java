package org.bulrushweir.catalog;

/** Says what may be repeated of a route's requests. */
public enum RequestKind {
  /** The request may run more than once. */
  SAFE,
  /** The request may run at most once. */
  UNSAFE,
  /** The answer is a stream of events; it may be resumed only where its route says so. */
  STREAM
}
