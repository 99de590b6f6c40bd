package org.bulrushweir.balancing;

/**
 * The load that one gateway puts on an endpoint.
 *
 * @param inFlight the number of in-flight requests
 * @param pendingTokens the number of prompt tokens of these requests that are still to be prefilled
 */
public record PeerLoad(int inFlight, long pendingTokens) {}
