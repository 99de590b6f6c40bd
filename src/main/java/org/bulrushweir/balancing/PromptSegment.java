package org.bulrushweir.balancing;

import java.util.List;

/**
 * Names a part of a prompt. Requests whose first parts are the same share their cache.
 *
 * @param id the part's id
 * @param tokens how many tokens it has
 */
public record PromptSegment(long id, int tokens) {

  /**
   * Returns the length of a prompt.
   *
   * @param prompt its parts
   * @return the number of tokens
   */
  static long tokens(final List<PromptSegment> prompt) {
    return prompt.stream().mapToLong(PromptSegment::tokens).sum();
  }
}
