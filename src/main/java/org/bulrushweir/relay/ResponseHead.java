package org.bulrushweir.relay;

/**
 * The head of an endpoint's response to an attempt.
 *
 * @param status the HTTP status
 * @param authentic whether the response carries an endpoint's signature and the request's id and
 *     has no content encoding; a response of any other origin lacks these
 * @param notRun whether the response proves that the request was not run
 * @param retryAfterMs the delay in milliseconds after which the endpoint accepts a retry, zero if
 *     it states none
 */
public record ResponseHead(int status, boolean authentic, boolean notRun, long retryAfterMs) {

  private static final int STATUS_REQUEST_TIMEOUT = 408;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int STATUS_SERVICE_UNAVAILABLE = 503;

  /** The longest time for which an endpoint's word is kept, in milliseconds. */
  private static final long MAX_HOLD_OFF_MS = 600_000;

  private static final int FIRST_SUCCESS = 200;
  private static final int FIRST_REDIRECT = 300;
  private static final int FIRST_SERVER_ERROR = 500;

  /**
   * Returns whether the request succeeded.
   *
   * @return true for the statuses from 200 to 299
   */
  public boolean success() {
    return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
  }

  /**
   * Returns whether the status reports a failure of the endpoint.
   *
   * @return true for the statuses from 500 on
   */
  public boolean isServerError() {
    return status >= FIRST_SERVER_ERROR;
  }

  /**
   * Returns for how long the endpoint wants no further requests from this gateway.
   *
   * @return the time in milliseconds, zero if it states none
   */
  public long holdOffMs() {
    return status == STATUS_SERVICE_UNAVAILABLE ? Math.min(retryAfterMs, MAX_HOLD_OFF_MS) : 0;
  }

  /**
   * Returns whether callers would take the status for a promise that the request was not run
   * although the response does not prove it.
   *
   * @return true if this status must not be forwarded to a caller
   */
  public boolean claimsNotRunWithoutProof() {
    return !notRun
        && (status == STATUS_SERVICE_UNAVAILABLE
            || status == STATUS_TOO_MANY_REQUESTS
            || status == STATUS_REQUEST_TIMEOUT);
  }
}
