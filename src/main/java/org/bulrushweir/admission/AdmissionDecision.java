package org.bulrushweir.admission;

import org.bulrushweir.api.EndpointId;
import org.bulrushweir.delivery.RefusalKind;

/** Tells whether an attempt is accepted. */
public sealed interface AdmissionDecision {

  /**
   * The attempt is queued.
   *
   * @param firstTokenInMs when the first token is expected, in milliseconds from now
   */
  record Admitted(long firstTokenInMs) implements AdmissionDecision {}

  /**
   * The attempt is refused.
   *
   * @param kind why
   * @param retryAfterMs when another try may succeed, in milliseconds
   * @param movedTo where the chat's cache is, null if unknown
   * @param cachedTokens how many tokens of the chat are in the cache here
   */
  record Refused(RefusalKind kind, long retryAfterMs, EndpointId movedTo, int cachedTokens)
      implements AdmissionDecision {}
}
