package org.bulrushweir.balancing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;

/**
 * Models the prefix cache of an engine: the segments of the prompts that it has prefilled recently.
 * The model evicts the least recently used segments first, as engines most likely do.
 */
final class PrefixCacheModel {

  /** The segments from the least to the most recently used one. */
  private final LinkedHashMap<Long, CachedSegment> segments = new LinkedHashMap<>();

  private long capacityTokens;
  private long tokens;

  /**
   * Creates the model of an empty cache.
   *
   * @param capacityTokens the capacity of the cache, in tokens
   */
  PrefixCacheModel(final long capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  /**
   * Returns the length of the prefix of a prompt that is cached or in prefill.
   *
   * @param prompt the segments of the prompt in order
   * @return the number of tokens of the leading segments that are all in the model
   */
  int cachedTokens(final List<PromptSegment> prompt) {
    return tokensUntil(prompt, Long.MAX_VALUE);
  }

  /**
   * Returns the length of the prefix of a prompt that is already prefilled.
   *
   * @param prompt the segments of the prompt in order
   * @param nowMs the current time, in Unix milliseconds
   * @return the number of tokens of the leading segments whose prefill has ended by now
   */
  int prefilledTokens(final List<PromptSegment> prompt, final long nowMs) {
    return tokensUntil(prompt, nowMs);
  }

  private int tokensUntil(final List<PromptSegment> prompt, final long untilMs) {
    int cached = 0;
    for (final PromptSegment segment : prompt) {
      final CachedSegment entry = segments.get(segment.id());
      if (entry == null || entry.prefilledAtMs > untilMs) {
        return cached;
      }
      cached += segment.tokens();
    }
    return cached;
  }

  /**
   * Returns when the prefill of the modelled prefix of a prompt ends.
   *
   * @param prompt the segments of the prompt in order
   * @return the time in Unix milliseconds, {@link Long#MIN_VALUE} if the first segment is not in
   *     the model
   */
  long prefilledAtMs(final List<PromptSegment> prompt) {
    long latestMs = Long.MIN_VALUE;
    for (final PromptSegment segment : prompt) {
      final CachedSegment entry = segments.get(segment.id());
      if (entry == null) {
        return latestMs;
      }
      latestMs = Math.max(latestMs, entry.prefilledAtMs);
    }
    return latestMs;
  }

  /**
   * Records that the engine prefills a prompt and so uses its segments. Segments that are already
   * in the model keep the earlier time.
   *
   * @param prompt the segments of the prompt in order
   * @param prefilledAtMs the time at which the prefill ends, in Unix milliseconds
   */
  void recordPrefill(final List<PromptSegment> prompt, final long prefilledAtMs) {
    add(prompt, prefilledAtMs);
    final Iterator<CachedSegment> eldest = segments.values().iterator();
    while (tokens > capacityTokens && eldest.hasNext()) {
      tokens -= eldest.next().tokens;
      eldest.remove();
    }
  }

  /**
   * Records the segments that the engine itself lists as cached. None of them is evicted in favour
   * of another one: the engine holds them all, so its capacity is at least their sum.
   *
   * @param listed the segments
   * @param listedAtMs the time of the list, in Unix milliseconds
   */
  void recordListed(final List<PromptSegment> listed, final long listedAtMs) {
    add(listed, listedAtMs);
    capacityTokens = Math.max(capacityTokens, tokens);
  }

  private void add(final List<PromptSegment> prompt, final long prefilledAtMs) {
    for (final PromptSegment segment : prompt) {
      final CachedSegment entry = segments.get(segment.id());
      if (entry == null) {
        segments.putLast(segment.id(), new CachedSegment(segment.tokens(), prefilledAtMs));
        tokens += segment.tokens();
      } else {
        entry.prefilledAtMs = Math.min(entry.prefilledAtMs, prefilledAtMs);
        segments.putLast(segment.id(), entry);
      }
    }
  }

  /** A segment that is cached or in prefill. */
  private static final class CachedSegment {
    private final int tokens;
    private long prefilledAtMs;

    CachedSegment(final int tokens, final long prefilledAtMs) {
      this.tokens = tokens;
      this.prefilledAtMs = prefilledAtMs;
    }
  }
}
