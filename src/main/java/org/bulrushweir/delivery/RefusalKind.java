package org.bulrushweir.delivery;

/** Why an attempt was not run. */
public enum RefusalKind {
  /** The endpoint carries as much as it may. */
  OVERLOADED(true),
  /** The endpoint is leaving. */
  LEAVING(true),
  /** The attempt was meant for an earlier life of the sidecar. */
  WRONG_INCARNATION(true),
  /** The endpoint could not answer in time. */
  DEADLINE_UNREACHABLE(true),
  /** The attempt was cancelled before it started. */
  CANCELLED(false),
  /** The attempt came twice. */
  DUPLICATE(false),
  /** The endpoint does not have the model loaded. */
  MODEL_NOT_LOADED(true),
  /** The claim that protects the request could not be written. */
  CLAIM_UNAVAILABLE(false),
  /** The key was used for another request. */
  CLAIM_CONFLICT(false),
  /** The endpoint beside the sidecar can't be reached. */
  ENDPOINT_DOWN(true),
  /** The request is malformed. */
  BAD_REQUEST(false),
  /** The chat's cache is at another endpoint. */
  MOVED(true),
  /** The organisation has used up its share. */
  RATE_LIMITED(true),
  /** The endpoint's sidecar does not have the configuration yet that the request came under. */
  NOT_READY(true),
  /** No connection to the endpoint could be opened; nothing was sent. */
  UNREACHABLE(true),
  /** No endpoint is left to try. */
  NO_ENDPOINT(false);

  private final boolean retryableElsewhere;

  RefusalKind(final boolean retryableElsewhere) {
    this.retryableElsewhere = retryableElsewhere;
  }

  /**
   * Tells whether another endpoint may accept the request.
   *
   * @return true if it is worth trying
   */
  public boolean retryableElsewhere() {
    return retryableElsewhere;
  }
}
