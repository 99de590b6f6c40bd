package org.bulrushweir.admission;

import org.bulrushweir.api.EndpointId;
import org.bulrushweir.delivery.RefusalKind;

/** Decision about an attempt that was offered to an endpoint. */
public sealed interface AdmissionDecision {

  /**
   * The attempt was accepted into the queue.
   *
   * @param firstTokenInMs the estimated time until the first token, in milliseconds
   */
  record Admitted(long firstTokenInMs) implements AdmissionDecision {}

  /**
   * The attempt was refused.
   *
   * @param kind the reason
   * @param retryAfterMs the time after which a retry may succeed, in milliseconds, zero if unknown
   * @param movedTo the endpoint that has the chat's KV cache, null unless the reason is that the
   *     chat has moved
   * @param cachedTokens the number of the chat's tokens in this endpoint's KV cache
   */
  record Refused(RefusalKind kind, long retryAfterMs, EndpointId movedTo, int cachedTokens)
      implements AdmissionDecision {}
}
