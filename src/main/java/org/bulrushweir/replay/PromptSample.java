package org.bulrushweir.replay;

/**
 * Tells how much of a prompt was cached.
 *
 * @param timeMs when the request came, in milliseconds since the start of the trace
 * @param chat the chat's hash
 * @param promptTokens the tokens of the prompt
 * @param cachedTokens how many of them were cached
 * @param cacheableTokens how many an unlimited cache that knows everything would have had
 */
public record PromptSample(
    long timeMs, long chat, int promptTokens, int cachedTokens, int cacheableTokens) {

  /** Below which share of what could be cached a cache counts as lost. */
  private static final double LOST_SHARE = 0.5;

  /**
   * Tells whether the chat has lost its cache.
   *
   * @return true if little of what could be cached was cached
   */
  public boolean isLost() {
    return cachedTokens < LOST_SHARE * cacheableTokens;
  }
}
