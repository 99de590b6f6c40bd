package org.bulrushweir.delivery;

/**
 * Sets the limits of one request. Points in time are those of the router's clock, in milliseconds.
 *
 * @param retryable whether running the request twice does no harm
 * @param continuable whether an answer that broke off can be continued by another endpoint
 * @param deadlineMs when the whole answer is due
 * @param firstTokenDeadlineMs when the first part of the answer is due
 * @param hedgeAtMs when a second endpoint is asked if no part has come, {@link Long#MAX_VALUE} for
 *     never
 * @param maximumAttempts how many endpoints may be asked
 */
public record RequestLimits(
    boolean retryable,
    boolean continuable,
    long deadlineMs,
    long firstTokenDeadlineMs,
    long hedgeAtMs,
    int maximumAttempts) {}
