package org.bulrushweir.standin;

/** How a stand-in of an endpoint misbehaves. */
public enum EndpointFault {
  /** Not at all. */
  NONE,
  /** It refuses all requests and proves that it did not run them. */
  SHED,
  /** It refuses all requests with proof, and asks for none for {@link #BUSY_S} seconds. */
  BUSY,
  /** It answers as usual and announces that it leaves. */
  LEAVING,
  /** It refuses all requests without a proof. */
  SHED_UNPROVEN,
  /** It runs requests and never answers. */
  HANG,
  /** It runs requests and resets their connections instead of answering. */
  RESET,
  /** It answers with an error. */
  ERROR,
  /** It breaks its answers off midway. */
  CUT,
  /** It stops sending inside an event of its streams and keeps their connections open. */
  STALL,
  /** It sends bytes that are no answer. */
  GARBAGE,
  /** It sends an answer to another request before each answer. */
  FOREIGN_FIRST,
  /** It sends another answer after each answer. */
  EXTRA,
  /** It answers without a mark of its own. */
  UNSEALED;

  /** For how long {@link #BUSY} asks for no requests, in seconds. */
  public static final int BUSY_S = 2;
}
