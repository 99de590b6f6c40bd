package org.bulrushweir.delivery;

/** Reason why an attempt was refused. */
public enum RefusalKind {
  /** The endpoint has reached its allowed load. */
  OVERLOADED(true),
  /** The endpoint is draining. */
  LEAVING(true),
  /**
   * The attempt was addressed to another incarnation of the sidecar. An earlier incarnation may
   * have run it, so this refusal proves nothing.
   */
  WRONG_INCARNATION(true),
  /** The endpoint can't produce the first token before its deadline, or the deadline has passed. */
  DEADLINE_UNREACHABLE(true),
  /** The attempt was cancelled before it started. */
  CANCELLED(false),
  /** The attempt was received twice. */
  DUPLICATE(false),
  /** The endpoint does not have the model loaded. */
  MODEL_NOT_LOADED(true),
  /** The claim for the request's idempotency key could not be written. */
  CLAIM_UNAVAILABLE(false),
  /** The idempotency key was used for a different request. */
  CLAIM_CONFLICT(false),
  /** The sidecar can't reach its endpoint. */
  ENDPOINT_DOWN(true),
  /** The request is malformed. */
  BAD_REQUEST(false),
  /** Another endpoint has the chat's KV cache. */
  MOVED(true),
  /** The organisation has used up its share of the endpoint. */
  RATE_LIMITED(true),
  /**
   * The sidecar has not loaded the configuration version that the router applied to the request.
   */
  NOT_READY(true),
  /** No connection to the endpoint could be opened; nothing was sent. */
  UNREACHABLE(true),
  /** No further endpoint is available. */
  NO_ENDPOINT(false);

  private final boolean retryableElsewhere;

  RefusalKind(final boolean retryableElsewhere) {
    this.retryableElsewhere = retryableElsewhere;
  }

  /**
   * Returns whether another endpoint may accept the request.
   *
   * @return true if the request may be sent to another endpoint
   */
  public boolean retryableElsewhere() {
    return retryableElsewhere;
  }
}
