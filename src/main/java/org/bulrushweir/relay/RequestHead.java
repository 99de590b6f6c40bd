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
 * @param expectedTokens the number of output tokens that the caller expects, empty if it states
 *     none
 */
public record RequestHead(
    String id,
    String host,
    String path,
    OptionalLong timeoutMs,
    Optional<String> apiKey,
    List<PromptSegment> prompt,
    OptionalLong outputTokens,
    Optional<EventId> resumeAfter,
    OptionalLong expectedTokens) {

  /** The share by which an output is assumed to exceed what the caller expects. */
  private static final double OUTPUT_MARGIN = 1.25;

  /** The longest output that a caller's word is taken for, in tokens. */
  private static final long MAX_OUTPUT_TOKENS = 1_000_000;

  /** Creates a head with a copy of the prompt. */
  public RequestHead {
    prompt = List.copyOf(prompt);
  }

  /**
   * Creates a head that states no expected output.
   *
   * @param id the caller's id of the request
   * @param host the requested host
   * @param path the path without the query
   * @param timeoutMs the time that the caller waits, in milliseconds, empty if it states none
   * @param apiKey the caller's API key, empty if it sent none
   * @param prompt the segments of the prompt in order, empty for a call
   * @param outputTokens the highest number of output tokens, empty if the caller states none
   * @param resumeAfter the id of the last event that the caller already has, empty without one
   */
  public RequestHead(
      final String id,
      final String host,
      final String path,
      final OptionalLong timeoutMs,
      final Optional<String> apiKey,
      final List<PromptSegment> prompt,
      final OptionalLong outputTokens,
      final Optional<EventId> resumeAfter) {
    this(
        id, host, path, timeoutMs, apiKey, prompt, outputTokens, resumeAfter, OptionalLong.empty());
  }

  /**
   * Returns for how many output tokens an engine needs room.
   *
   * @return the expected output with a margin, at most the highest number that the caller allows;
   *     zero if it states neither
   */
  public long reservedOutputTokens() {
    final long highest = Math.clamp(outputTokens.orElse(MAX_OUTPUT_TOKENS), 0, MAX_OUTPUT_TOKENS);
    if (expectedTokens.isPresent() && expectedTokens.getAsLong() > 0) {
      return (long) Math.min(highest, OUTPUT_MARGIN * expectedTokens.getAsLong());
    }
    return outputTokens.isPresent() ? highest : 0;
  }
}
