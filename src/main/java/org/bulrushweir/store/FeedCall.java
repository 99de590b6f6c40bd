package org.bulrushweir.store;

/**
 * A call with which a table is followed.
 *
 * @param kind what is asked for
 * @param startedMs when it was sent, in Unix milliseconds
 * @param waitMs how long the store waits for a change, in milliseconds
 */
public record FeedCall(CallKind kind, long startedMs, long waitMs) {}
