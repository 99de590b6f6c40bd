package org.bulrushweir.relay;

/**
 * Holds the limits of one request.
 *
 * @param retryable whether it may run more than once
 * @param resumable whether a broken stream may go on at another endpoint
 * @param maxExecutions at how many endpoints it may run
 * @param deadlineMs when it must have its final answer, in milliseconds of the clock
 * @param firstByteTimeoutMs how long an endpoint may say nothing before a repeatable request goes
 *     elsewhere, in milliseconds
 * @param stallTimeoutMs the same within an answer, in milliseconds
 */
public record RelayLimits(
    boolean retryable,
    boolean resumable,
    int maxExecutions,
    long deadlineMs,
    long firstByteTimeoutMs,
    long stallTimeoutMs) {}
