package org.bulrushweir.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.bulrushweir.api.OrganisationId;

/**
 * Remembers the prompts that were rejected, so that one that returns goes before new ones. Callers
 * return with a new request id; a prompt is known again by its organisation and segments.
 */
public final class RejectedPrompts {

  /** The number of prompts that are remembered; the oldest ones are dropped. */
  private static final int MAX_PROMPTS = 1_024;

  /** The time after a {@code Retry-After} delay within which a prompt may return, in ms. */
  private static final long RETURN_MS = 10_000;

  private final Map<Key, Rejected> prompts =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(final Map.Entry<Key, Rejected> eldest) {
          return size() > MAX_PROMPTS;
        }
      };

  /**
   * Records a rejection.
   *
   * @param organisation the organisation
   * @param prompt a hash of the prompt
   * @param sinceMs the time from which its turn counted, in Unix milliseconds
   * @param retryAfterMs the delay that the caller was told, in milliseconds
   * @param nowMs the current time, in Unix milliseconds
   */
  public void record(
      final Optional<OrganisationId> organisation,
      final long prompt,
      final long sinceMs,
      final long retryAfterMs,
      final long nowMs) {
    prompts.put(new Key(organisation, prompt), new Rejected(sinceMs, nowMs + retryAfterMs));
  }

  /**
   * Returns the time from which the turn of a prompt counts. One that returns before the delay it
   * was told counts as new, so that returning at once gains nothing.
   *
   * @param organisation the organisation
   * @param prompt a hash of the prompt
   * @param nowMs the current time, in Unix milliseconds
   * @return the time in Unix milliseconds, now for a new prompt
   */
  public long sinceMs(
      final Optional<OrganisationId> organisation, final long prompt, final long nowMs) {
    return turnMs(prompts.remove(new Key(organisation, prompt)), nowMs);
  }

  /**
   * Returns the same as {@link #sinceMs} without forgetting the prompt.
   *
   * @param organisation the organisation
   * @param prompt a hash of the prompt
   * @param nowMs the current time, in Unix milliseconds
   * @return the time in Unix milliseconds, now for a new prompt
   */
  public long previewSinceMs(
      final Optional<OrganisationId> organisation, final long prompt, final long nowMs) {
    return turnMs(prompts.get(new Key(organisation, prompt)), nowMs);
  }

  private static long turnMs(final Rejected rejected, final long nowMs) {
    return rejected == null || nowMs < rejected.returnMs || nowMs > rejected.returnMs + RETURN_MS
        ? nowMs
        : rejected.sinceMs;
  }

  /**
   * What a prompt is known again by.
   *
   * @param organisation the organisation
   * @param prompt a hash of the prompt
   */
  private record Key(Optional<OrganisationId> organisation, long prompt) {}

  /**
   * A rejected prompt.
   *
   * @param sinceMs the time from which its turn counted, in Unix milliseconds
   * @param returnMs the time from which it may return, in Unix milliseconds
   */
  private record Rejected(long sinceMs, long returnMs) {}
}
