package org.bulrushweir.balancing;

/**
 * The load that one gateway puts on an endpoint.
 *
 * @param inFlight the number of in-flight requests
 * @param pendingTokens the number of prompt tokens of these requests that are still to be prefilled
 * @param heldTokens the number of tokens that these requests occupy in the KV cache at most
 */
public record PeerLoad(int inFlight, long pendingTokens, long heldTokens) {

  /**
   * Creates a load that occupies no KV cache.
   *
   * @param inFlight the number of in-flight requests
   * @param pendingTokens the number of prompt tokens that are still to be prefilled
   */
  public PeerLoad(final int inFlight, final long pendingTokens) {
    this(inFlight, pendingTokens, 0);
  }
}
