package org.bulrushweir.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;

/** Caches prompt prefixes in blocks, evicting the least recently used block when full. */
final class PrefixCache {

  /** How many tokens a block holds. */
  static final int BLOCK_TOKENS = 16;

  private static final long HASH_FACTOR = 0x9E3779B97F4A7C15L;
  private static final float LOAD_FACTOR = 0.75f;

  private final LinkedHashMap<Long, Boolean> blocks =
      new LinkedHashMap<>(BLOCK_TOKENS, LOAD_FACTOR, true);
  private final int capacity;
  private final CacheEventLog events;

  /**
   * Creates an empty cache.
   *
   * @param capacity how many blocks fit
   * @param events where changes are published
   */
  PrefixCache(final int capacity, final CacheEventLog events) {
    this.capacity = capacity;
    this.events = events;
  }

  /**
   * Computes the hashes of the whole blocks of a prompt; each covers all tokens before it.
   *
   * @param tokens the prompt
   * @return the hashes in order
   */
  static List<Long> blockHashes(final List<String> tokens) {
    final List<Long> hashes = new ArrayList<>();
    long hash = 1;
    for (int index = 0; index < tokens.size(); index++) {
      hash = (hash ^ tokens.get(index).hashCode()) * HASH_FACTOR;
      hash ^= hash >>> Integer.SIZE;
      if ((index + 1) % BLOCK_TOKENS == 0) {
        hashes.add(hash);
      }
    }
    return hashes;
  }

  /**
   * Counts the cached tokens at the start of a prompt and marks their blocks as used.
   *
   * @param hashes the hashes of the prompt's blocks
   * @return the number of tokens
   */
  int cachedTokens(final List<Long> hashes) {
    return cachedBlocks(hashes).size() * BLOCK_TOKENS;
  }

  /**
   * Returns the cached blocks at the start of a prompt.
   *
   * @param hashes the hashes of the prompt's blocks
   * @return the hashes of the cached ones
   */
  List<Long> cachedBlocks(final List<Long> hashes) {
    int count = 0;
    while (count < hashes.size() && blocks.get(hashes.get(count)) != null) {
      count++;
    }
    return List.copyOf(hashes.subList(0, count));
  }

  /**
   * Stores blocks.
   *
   * @param hashes the hashes of the blocks
   */
  void store(final List<Long> hashes) {
    for (final Long hash : hashes) {
      if (blocks.put(hash, Boolean.TRUE) == null) {
        events.add(hash, true);
      }
    }
    while (blocks.size() > capacity) {
      final Long eldest = blocks.keySet().iterator().next();
      blocks.remove(eldest);
      events.add(eldest, false);
    }
  }
}
