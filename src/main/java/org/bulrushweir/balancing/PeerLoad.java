package org.bulrushweir.balancing;

/**
 * Says what a peer has at an endpoint.
 *
 * @param inFlight how many requests
 * @param pendingTokens how many prompt tokens of theirs are still to be read
 */
public record PeerLoad(int inFlight, long pendingTokens) {}
