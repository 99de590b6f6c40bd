package org.bulrushweir.relay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.bulrushweir.balancing.PromptSegment;

/**
 * Describes a caller's request without its body.
 *
 * @param id the caller's id of this request
 * @param host the host that it names, in lower case, without port
 * @param path the path without the query
 * @param timeoutMs how long the caller waits, in milliseconds, empty if it does not say
 * @param apiKey the caller's key, empty if it sent none
 * @param prompt the parts of its prompt in order, empty for calls
 * @param outputTokens the longest answer that it allows, in tokens, empty if it does not say
 * @param resumeAfter the id of the last event that the caller already has
 */
public record RequestHead(
    String id,
    String host,
    String path,
    OptionalLong timeoutMs,
    Optional<String> apiKey,
    List<PromptSegment> prompt,
    OptionalLong outputTokens,
    OptionalLong resumeAfter) {

  /** Copies the prompt. */
  public RequestHead {
    prompt = List.copyOf(prompt);
  }
}
