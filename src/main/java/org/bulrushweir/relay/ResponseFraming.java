package org.bulrushweir.relay;

/** By what the end of a response's body is recognised. */
public enum ResponseFraming {
  /** By a length that the head states or implies. */
  LENGTH,
  /** By the last chunk. */
  CHUNKED,
  /** By the end of the connection, which also ends when an endpoint crashes. */
  CONNECTION
}
