package org.bulrushweir.router;

import com.google.protobuf.ByteString;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.api.RequestId;
import org.bulrushweir.declaration.ServiceDeclaration;
import org.bulrushweir.declaration.WorkClass;
import org.bulrushweir.wire.generated.Kind;

/**
 * Describes a validated request of a caller.
 *
 * @param id the id of the request
 * @param organisation the organisation of the caller
 * @param service the service that runs the request
 * @param workClass the work class of the request
 * @param kind whether the request is a chat or a call of a plain service
 * @param chat the hash of the chat's identity; zero for calls
 * @param affinity the endpoint that gave the last answer in this chat according to the caller; null
 *     if the caller names none
 * @param model the name of the model; empty for calls
 * @param method the HTTP method of a call; empty for chats
 * @param path the HTTP path of a call with its query; empty for chats
 * @param contentType the content type of the body; empty if the caller states none
 * @param body the request body
 * @param promptTokens the estimated number of tokens of the prompt; zero for calls
 * @param expectedOutputTokens the estimated number of tokens of the answer; zero for calls
 * @param retryable whether the request may run twice without harm, by its method or its declaration
 * @param idempotencyKey the idempotency key of a non-idempotent call; empty if there is none
 * @param deadlineMs the time limit for the whole answer, in milliseconds
 */
record RequestSpec(
    RequestId id,
    OrganisationId organisation,
    ServiceDeclaration service,
    WorkClass workClass,
    Kind kind,
    long chat,
    EndpointId affinity,
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
   * Returns whether the request may be retried after an attempt whose outcome is unknown. A request
   * with an idempotency key may, since the claim on the key prevents a second run.
   *
   * @return true if a retry does no harm
   */
  boolean mayBeRetried() {
    return retryable || !idempotencyKey.isEmpty();
  }

  /**
   * Returns a copy of the request with another id.
   *
   * @param newId the id of the copy
   * @return the copy
   */
  RequestSpec withId(final RequestId newId) {
    return new RequestSpec(
        newId,
        organisation,
        service,
        workClass,
        kind,
        chat,
        affinity,
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
