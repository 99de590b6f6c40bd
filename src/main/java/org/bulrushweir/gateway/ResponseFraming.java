package org.bulrushweir.gateway;

/** Tells by what the end of a response's body is recognised. */
enum ResponseFraming {
  /** By a length that the head states or implies. */
  LENGTH,
  /** By the last chunk. */
  CHUNKED,
  /** By the end of the connection. */
  CONNECTION
}
