package org.bulrushweir.relay;

/**
 * Describes the head of an endpoint's answer.
 *
 * @param status the HTTP status
 * @param authentic whether it bears what proves that an endpoint made it whole and unencoded
 * @param notRun whether it proves that the request was not run
 * @param retryAfterMs when the endpoint wants to be asked again, zero if it does not say
 */
public record ResponseHead(int status, boolean authentic, boolean notRun, long retryAfterMs) {

  private static final int REQUEST_TIMEOUT = 408;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;
  private static final int FIRST_SUCCESS = 200;
  private static final int FIRST_REDIRECT = 300;
  private static final int FIRST_SERVER_ERROR = 500;

  /**
   * Tells whether the request succeeded.
   *
   * @return true for the statuses from 200 to 299
   */
  public boolean success() {
    return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
  }

  /**
   * Tells whether the endpoint failed.
   *
   * @return true for the statuses from 500 on
   */
  public boolean isServerError() {
    return status >= FIRST_SERVER_ERROR;
  }

  /**
   * Tells whether the status promises that the request was not run although nothing proves it.
   *
   * @return true if a caller must not be given this status
   */
  public boolean claimsNotRunWithoutProof() {
    return !notRun
        && (status == UNAVAILABLE || status == TOO_MANY_REQUESTS || status == REQUEST_TIMEOUT);
  }
}
