package org.bulrushweir.router;

import com.google.protobuf.ByteString;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.api.RequestId;
import org.bulrushweir.declaration.ServiceDeclaration;
import org.bulrushweir.declaration.WorkClass;
import org.bulrushweir.wire.generated.Kind;

/**
 * Describes a caller's request after it has been checked.
 *
 * @param id the request's id
 * @param organisation for whom it runs
 * @param service the service that is to run it
 * @param workClass its class of work
 * @param kind chat or call
 * @param chat the hash of the chat's identity, zero for calls
 * @param hint where the caller's last answer in this chat came from, null if it does not say
 * @param model the model, empty for calls
 * @param method the HTTP method of a call
 * @param path the HTTP path of a call, with its query
 * @param contentType the content type of the body
 * @param body the body
 * @param promptTokens the estimated tokens of the prompt
 * @param expectedOutputTokens the estimated tokens of the answer
 * @param retryable whether running it twice does no harm
 * @param idempotencyKey the caller's key, empty if there is none
 * @param deadlineMs how long the whole answer may take, in milliseconds
 */
record RequestSpec(
    RequestId id,
    OrganisationId organisation,
    ServiceDeclaration service,
    WorkClass workClass,
    Kind kind,
    long chat,
    EndpointId hint,
    String model,
    String method,
    String path,
    String contentType,
    ByteString body,
    int promptTokens,
    int expectedOutputTokens,
    boolean retryable,
    String idempotencyKey,
    long deadlineMs) {
  /**
   * Tells whether the request may be sent again after an attempt whose end is not known. With a key
   * it may, since the claim keeps it from running twice.
   *
   * @return true if sending it again does no harm
   */
  boolean mayBeSentAgain() {
    return retryable || !idempotencyKey.isEmpty();
  }

  /**
   * Returns the same request under another id.
   *
   * @param newId the id
   * @return the request
   */
  RequestSpec withId(final RequestId newId) {
    return new RequestSpec(
        newId,
        organisation,
        service,
        workClass,
        kind,
        chat,
        hint,
        model,
        method,
        path,
        contentType,
        body,
        promptTokens,
        expectedOutputTokens,
        retryable,
        idempotencyKey,
        deadlineMs);
  }
}
