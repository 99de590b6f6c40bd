package org.bulrushweir.affinity;

/** Decides whether the KV cache of a chat is transferred from another endpoint. */
public final class CacheTransferPolicy {

  /** The smallest number of tokens for which a transfer is cheaper than a new prefill. */
  private static final int MIN_TRANSFER_TOKENS = 256;

  private CacheTransferPolicy() {}

  /**
   * Returns whether a transfer is worthwhile.
   *
   * @param tokens the number of tokens that are cached at the other endpoint and not here
   * @return true if the transfer of the tokens is cheaper than their prefill
   */
  public static boolean isWorthwhile(final int tokens) {
    return tokens >= MIN_TRANSFER_TOKENS;
  }
}
