package org.bulrushweir.affinity;

/** Decides when the cache of a chat is brought from another endpoint. */
public final class CacheTransferPolicy {

  /** From how many tokens on an import is cheaper than reading them again. */
  private static final int MINIMUM_TOKENS = 256;

  private CacheTransferPolicy() {}

  /**
   * Tells whether an import is worth it.
   *
   * @param tokens how many more tokens are cached there than here
   * @return true if importing them is cheaper than reading them
   */
  public static boolean isWorthwhile(final int tokens) {
    return tokens >= MINIMUM_TOKENS;
  }
}
