package org.bulrushweir.relay;

/**
 * The limits of one request.
 *
 * @param retryable whether the request may run more than once
 * @param resumable whether another endpoint may resume a broken stream
 * @param maxExecutions the highest number of endpoints at which the request may run
 * @param deadlineMs the deadline of the final response, in Unix milliseconds
 * @param firstByteTimeoutMs the time after which a retryable request is sent to another endpoint,
 *     in milliseconds: for a stream without the head of its response, otherwise without a response
 *     that is complete or exceeds the buffer
 * @param stallTimeoutMs the time without data after the head of the response after which a
 *     resumable stream is resumed at another endpoint, in milliseconds
 * @param earlyRetryMs the time without a response after which the first execution of a retryable
 *     request is replaced by one at another endpoint while the retry budget is not scarce, in
 *     milliseconds, {@link Long#MAX_VALUE} for never
 */
public record RelayLimits(
    boolean retryable,
    boolean resumable,
    int maxExecutions,
    long deadlineMs,
    long firstByteTimeoutMs,
    long stallTimeoutMs,
    long earlyRetryMs) {

  /**
   * Creates limits without an early retry.
   *
   * @param retryable whether the request may run more than once
   * @param resumable whether another endpoint may resume a broken stream
   * @param maxExecutions the highest number of endpoints at which the request may run
   * @param deadlineMs the deadline of the final response, in Unix milliseconds
   * @param firstByteTimeoutMs the time after which a retryable request is sent to another endpoint
   * @param stallTimeoutMs the time without data after which a stream is resumed elsewhere
   */
  public RelayLimits(
      final boolean retryable,
      final boolean resumable,
      final int maxExecutions,
      final long deadlineMs,
      final long firstByteTimeoutMs,
      final long stallTimeoutMs) {
    this(
        retryable,
        resumable,
        maxExecutions,
        deadlineMs,
        firstByteTimeoutMs,
        stallTimeoutMs,
        Long.MAX_VALUE);
  }
}
