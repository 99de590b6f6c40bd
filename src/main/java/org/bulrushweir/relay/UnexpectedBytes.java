package org.bulrushweir.relay;

/** Bytes from an endpoint that are not part of the response to the waiting request. */
public enum UnexpectedBytes {
  /** They arrived while no request was waiting. */
  IDLE,
  /** They were a response to another request. */
  OTHER_REQUEST,
  /** They were a response that may belong to another request. */
  AMBIGUOUS,
  /** They were no response. */
  INVALID,
  /** They were the start of a head that broke off and was followed by another one. */
  JOINED_HEAD,
  /** They were part of another response and stood in the body of the waiting request's one. */
  JOINED_BODY
}
