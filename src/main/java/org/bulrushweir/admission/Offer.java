package org.bulrushweir.admission;

import org.bulrushweir.api.AttemptKey;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.declaration.WorkClass;

/**
 * Describes an attempt that is offered to an endpoint.
 *
 * @param key the attempt
 * @param organisation for whom it runs
 * @param workClass its class of work
 * @param chat the chat's hash, zero for calls of plain services
 * @param promptTokens the estimated tokens of the prompt
 * @param outputTokens the estimated tokens of the answer
 * @param cacheExpected whether the caller says that the chat ran here last
 * @param arrivedMs when it came, in milliseconds
 * @param startByMs when it must have started to be of use, in milliseconds
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
   * Tells whether the attempt is the first one of its request.
   *
   * @return true if no other endpoint was asked before
   */
  boolean isFirstAttempt() {
    return key.attempt() == 1;
  }
}
