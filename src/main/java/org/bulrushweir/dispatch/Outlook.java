package org.bulrushweir.dispatch;

/**
 * What a request has to expect at its gateway.
 *
 * @param room whether this gateway may send another request
 * @param behindOthers whether a request that goes before it waits here
 * @param behindPeers whether a more urgent request waits at another gateway
 * @param passedByLessUrgent whether a less urgent request was sent moments ago
 * @param waitMs the expected wait, in milliseconds
 * @param meanMs the mean duration of a request, in milliseconds
 */
record Outlook(
    boolean room,
    boolean behindOthers,
    boolean behindPeers,
    boolean passedByLessUrgent,
    long waitMs,
    double meanMs) {}
