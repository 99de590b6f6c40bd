package org.bulrushweir.admission;

import org.bulrushweir.api.AttemptKey;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.declaration.WorkClass;

/**
 * An attempt that is offered to an endpoint.
 *
 * @param key the attempt
 * @param organisation the organisation that the request belongs to
 * @param workClass the work class of the request
 * @param chat the hash of the chat, zero for a call of a plain service
 * @param promptTokens the estimated number of prompt tokens
 * @param outputTokens the estimated number of tokens still to be generated
 * @param cacheExpected whether the request claims that this endpoint has the chat's KV cache
 * @param arrivedMs when it arrived, in milliseconds of the sidecar's clock
 * @param startByMs the deadline of its first token, in milliseconds of the sidecar's clock; an
 *     attempt that is still queued then is refused
 */
public record Offer(
    AttemptKey key,
    OrganisationId organisation,
    WorkClass workClass,
    long chat,
    int promptTokens,
    int outputTokens,
    boolean cacheExpected,
    long arrivedMs,
    long startByMs) {

  /**
   * Returns whether the attempt is the first one of its request.
   *
   * @return true if the request was not sent to an endpoint before
   */
  boolean isFirstAttempt() {
    return key.attempt() == 1;
  }
}
