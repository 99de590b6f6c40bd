package org.bulrushweir.balancing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers which parts of prompts an engine has read lately, as it most likely keeps them: the
 * least recently used parts yield.
 */
final class PrefixMemory {

  private static final int INITIAL_PARTS = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final LinkedHashMap<Long, Integer> parts =
      new LinkedHashMap<>(INITIAL_PARTS, LOAD_FACTOR, true);
  private final long capacityTokens;
  private long tokens;

  /**
   * Creates an empty memory.
   *
   * @param capacityTokens how many tokens the engine keeps
   */
  PrefixMemory(final long capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  /**
   * Counts the tokens of a prompt that need not be read again.
   *
   * @param prompt the prompt's parts in order
   * @return the tokens of the first parts that are all remembered
   */
  int cachedTokens(final List<PromptPart> prompt) {
    int cached = 0;
    for (final PromptPart part : prompt) {
      if (!parts.containsKey(part.id())) {
        return cached;
      }
      cached += part.tokens();
    }
    return cached;
  }

  /**
   * Notes that the engine reads a prompt.
   *
   * @param prompt the prompt's parts in order
   */
  void read(final List<PromptPart> prompt) {
    for (final PromptPart part : prompt) {
      final Integer known = parts.put(part.id(), part.tokens());
      tokens += part.tokens() - (known == null ? 0 : known);
    }
    final Iterator<Map.Entry<Long, Integer>> oldest = parts.entrySet().iterator();
    while (tokens > capacityTokens && oldest.hasNext()) {
      tokens -= oldest.next().getValue();
      oldest.remove();
    }
  }

  /** Forgets everything, as the engine does at its restart. */
  void clear() {
    parts.clear();
    tokens = 0;
  }
}
