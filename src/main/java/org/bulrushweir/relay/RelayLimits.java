package org.bulrushweir.relay;

/**
 * The limits of one request.
 *
 * @param retryable whether the request may run more than once
 * @param resumable whether another endpoint may resume a broken stream
 * @param maxExecutions the highest number of endpoints at which the request may run
 * @param deadlineMs the deadline of the final response, in Unix milliseconds
 * @param firstByteTimeoutMs the time without data from an endpoint before the head of its response
 *     after which a retryable request is sent to another endpoint, in milliseconds
 * @param stallTimeoutMs the same time after the head of the response, in milliseconds
 */
public record RelayLimits(
    boolean retryable,
    boolean resumable,
    int maxExecutions,
    long deadlineMs,
    long firstByteTimeoutMs,
    long stallTimeoutMs) {}
