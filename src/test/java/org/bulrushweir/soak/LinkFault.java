package org.bulrushweir.soak;

/** How a link misbehaves. */
enum LinkFault {
  /** Not at all. */
  NONE,
  /** Each piece is delayed. */
  DELAY,
  /** Open connections are reset once, new ones as long as the fault lasts. */
  RESET,
  /** What is sent to the server is held back. */
  SILENT_REQUESTS,
  /** What the server sends is held back. */
  SILENT_ANSWERS,
  /** Nothing passes. */
  SILENT
}
