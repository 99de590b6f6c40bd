package org.bulrushweir.balancing;

import java.util.List;

/**
 * A segment of a prompt. Requests whose leading segments are equal share the prefix cache.
 *
 * @param id the identifier of the segment's content
 * @param tokens the length of the segment in tokens
 */
public record PromptSegment(long id, int tokens) {

  /**
   * Returns the length of a prompt.
   *
   * @param prompt the segments of the prompt
   * @return the number of tokens, zero for an empty prompt
   */
  public static long tokens(final List<PromptSegment> prompt) {
    long sum = 0;
    for (final PromptSegment segment : prompt) {
      sum += segment.tokens();
    }
    return sum;
  }

  /**
   * Returns the segments of a prompt that other requests may share.
   *
   * @param prompt the segments of the prompt
   * @return all segments but the last one, empty for an empty prompt
   */
  public static List<PromptSegment> shared(final List<PromptSegment> prompt) {
    return List.copyOf(prompt.subList(0, Math.max(0, prompt.size() - 1)));
  }
}
