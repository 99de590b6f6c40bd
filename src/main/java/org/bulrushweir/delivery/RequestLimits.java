package org.bulrushweir.delivery;

/**
 * Deadlines and retry rules of one request. Points in time are in milliseconds of the router's
 * clock.
 *
 * @param retryable whether running the request twice does no harm, so that it may be retried after
 *     an attempt that may have run, and hedged
 * @param continuable whether another endpoint can continue an answer that was cut off
 * @param deadlineMs the deadline of the complete answer
 * @param firstTokenDeadlineMs the deadline of the first part of the answer
 * @param hedgeAtMs when the request is hedged if no part has arrived, {@link Long#MAX_VALUE} for
 *     never
 * @param maximumAttempts the maximum number of attempts, the first one and a hedge included
 */
public record RequestLimits(
    boolean retryable,
    boolean continuable,
    long deadlineMs,
    long firstTokenDeadlineMs,
    long hedgeAtMs,
    int maximumAttempts) {}
