package org.bulrushweir.runonce;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Holds a claim as it stands in the platform's table.
 *
 * @param nonce identifies the attempt that holds the claim
 * @param bodyDigest the digest of the request that the claim protects
 * @param endpoint the endpoint at which the holder runs
 * @param incarnation the life of the holder's sidecar
 * @param state how far the request has come
 * @param outcome the answer, null unless the request is done
 */
public record ClaimRow(
    @JsonProperty("nonce") String nonce,
    @JsonProperty("body_digest") String bodyDigest,
    @JsonProperty("endpoint") String endpoint,
    @JsonProperty("incarnation") long incarnation,
    @JsonProperty("state") ClaimState state,
    @JsonProperty("outcome") ClaimOutcome outcome) {

  /**
   * Returns the row that the holder writes when the request is over.
   *
   * @param newState the new state
   * @param newOutcome the answer, null unless the request is done
   * @return the new row
   */
  ClaimRow settled(final ClaimState newState, final ClaimOutcome newOutcome) {
    return new ClaimRow(nonce, bodyDigest, endpoint, incarnation, newState, newOutcome);
  }
}
