package org.bulrushweir.soak;

/** How an endpoint of the soak answers. */
enum EndpointMode {
  /** Well. */
  SOUND,
  /** It resets connections instead of answering. */
  RESET,
  /** It breaks its answers off at any byte. */
  CUT,
  /** It never answers. */
  SILENT,
  /** It refuses requests with proof. */
  REFUSE,
  /** It answers 503 without proof, and has run half of the requests. */
  REFUSE_UNPROVEN,
  /** It runs requests and answers with an error. */
  ERROR,
  /** It repeats answers that it gave, whole or cut off at any byte. */
  STUTTER
}
