package org.bulrushweir.balancing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;

/**
 * Remembers which parts of prompts an engine has read lately, as it most likely keeps them: the
 * least recently used parts yield.
 */
final class PrefixCacheModel {

  private static final int INITIAL_PARTS = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final LinkedHashMap<Long, HeldPart> parts =
      new LinkedHashMap<>(INITIAL_PARTS, LOAD_FACTOR, true);
  private final long capacityTokens;
  private long tokens;

  /**
   * Creates an empty memory.
   *
   * @param capacityTokens how many tokens the engine keeps
   */
  PrefixCacheModel(final long capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  /**
   * Counts the tokens of a prompt that need not be read again once those before it are read.
   *
   * @param prompt the prompt's parts in order
   * @return the tokens of the first parts that are all remembered
   */
  int cachedTokens(final List<PromptSegment> prompt) {
    return tokensUntil(prompt, Long.MAX_VALUE);
  }

  /**
   * Counts the tokens of a prompt that have been read.
   *
   * @param prompt the prompt's parts in order
   * @param nowMs the current time
   * @return the tokens of the first parts that are all remembered and read by now
   */
  int readTokens(final List<PromptSegment> prompt, final long nowMs) {
    return tokensUntil(prompt, nowMs);
  }

  private int tokensUntil(final List<PromptSegment> prompt, final long untilMs) {
    int cached = 0;
    for (final PromptSegment segment : prompt) {
      final HeldPart held = parts.get(segment.id());
      if (held == null || held.readAtMs > untilMs) {
        return cached;
      }
      cached += segment.tokens();
    }
    return cached;
  }

  /**
   * Tells when the remembered parts of a prompt will all have been read.
   *
   * @param prompt the prompt's parts in order
   * @return the time in milliseconds, {@link Long#MIN_VALUE} if none is remembered
   */
  long readAtMs(final List<PromptSegment> prompt) {
    long latestMs = Long.MIN_VALUE;
    for (final PromptSegment segment : prompt) {
      final HeldPart held = parts.get(segment.id());
      if (held == null) {
        return latestMs;
      }
      latestMs = Math.max(latestMs, held.readAtMs);
    }
    return latestMs;
  }

  /**
   * Notes that the engine reads a prompt.
   *
   * @param prompt the prompt's parts in order
   * @param readAtMs when it will have read the parts that it does not hold yet
   */
  void read(final List<PromptSegment> prompt, final long readAtMs) {
    for (final PromptSegment segment : prompt) {
      final HeldPart held = parts.get(segment.id());
      if (held == null) {
        parts.put(segment.id(), new HeldPart(segment.tokens(), readAtMs));
        tokens += segment.tokens();
      } else {
        held.readAtMs = Math.min(held.readAtMs, readAtMs);
      }
    }
    final Iterator<HeldPart> oldest = parts.values().iterator();
    while (tokens > capacityTokens && oldest.hasNext()) {
      tokens -= oldest.next().tokens;
      oldest.remove();
    }
  }

  /** Forgets everything, as the engine does at its restart. */
  void clear() {
    parts.clear();
    tokens = 0;
  }

  /** A part that an engine holds, or is about to hold. */
  private static final class HeldPart {
    private final int tokens;
    private long readAtMs;

    HeldPart(final int tokens, final long readAtMs) {
      this.tokens = tokens;
      this.readAtMs = readAtMs;
    }
  }
}
