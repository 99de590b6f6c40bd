package org.bulrushweir.runonce;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A claim of an idempotency key, as it is stored in the platform's store.
 *
 * @param nonce identifies the attempt that holds the claim
 * @param requestDigest the digest of the claimed request's method, path and body, to detect a
 *     different request with the same key
 * @param endpoint the ID of the endpoint at which the request runs
 * @param incarnation the incarnation of that endpoint's sidecar
 * @param state the state of the request
 * @param outcome the answer, null unless the state is {@link ClaimState#DONE}
 */
public record ClaimRow(
    @JsonProperty("nonce") String nonce,
    @JsonProperty("body_digest") String requestDigest,
    @JsonProperty("endpoint") String endpoint,
    @JsonProperty("incarnation") long incarnation,
    @JsonProperty("state") ClaimState state,
    @JsonProperty("outcome") ClaimOutcome outcome) {

  /**
   * Returns the row that the holder writes when the request has ended.
   *
   * @param newState the final state
   * @param newOutcome the answer, null unless the state is {@link ClaimState#DONE}
   * @return the new row
   */
  ClaimRow withResult(final ClaimState newState, final ClaimOutcome newOutcome) {
    return new ClaimRow(nonce, requestDigest, endpoint, incarnation, newState, newOutcome);
  }
}
