package org.bulrushweir.relay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.bulrushweir.balancing.PromptSegment;

/**
 * A caller's request without its body.
 *
 * @param id the caller's id of the request
 * @param host the requested host, in lower case and without port
 * @param path the path without the query
 * @param timeoutMs the time that the caller waits, in milliseconds, empty if it states none
 * @param apiKey the caller's API key, empty if it sent none
 * @param prompt the segments of the prompt in order, empty for a call
 * @param outputTokens the highest number of output tokens that the caller allows, empty if it
 *     states none
 * @param resumeAfter the id of the last event that the caller already has, empty if it does not
 *     resume a stream
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

  /** Creates a head with a copy of the prompt. */
  public RequestHead {
    prompt = List.copyOf(prompt);
  }
}
