package org.bulrushweir.balancing;

import java.util.List;
import org.bulrushweir.api.ServiceName;

/**
 * What the selection knows about a request.
 *
 * @param service the service of the request
 * @param prompt the segments of the prompt in order, empty for a call
 * @param outputTokens the expected number of output tokens
 * @param targetAtMs the time by which the first event is due, in Unix milliseconds
 */
public record RequestProfile(
    ServiceName service, List<PromptSegment> prompt, long outputTokens, long targetAtMs) {

  /**
   * Returns what the request occupies in the KV cache of an engine.
   *
   * @return the number of tokens, zero for a call
   */
  public long heldTokens() {
    return prompt.isEmpty() ? 0 : PromptSegment.tokens(prompt) + outputTokens;
  }
}
