package org.bulrushweir.relay;

/**
 * Holds the limits of one request.
 *
 * @param repeatable whether it may run more than once
 * @param resumable whether a broken stream may go on at another endpoint
 * @param maxRuns at how many endpoints it may run
 * @param answerByMs when it must have its final answer, in milliseconds of the clock
 * @param firstSilenceMs how long an endpoint may say nothing before a repeatable request goes
 *     elsewhere, in milliseconds
 * @param laterSilenceMs the same within an answer, in milliseconds
 */
public record RelayLimits(
    boolean repeatable,
    boolean resumable,
    int maxRuns,
    long answerByMs,
    long firstSilenceMs,
    long laterSilenceMs) {}
