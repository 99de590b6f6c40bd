package org.bulrushweir.balancing;

import java.util.Optional;
import org.bulrushweir.api.EndpointId;

/**
 * The load and cache state of an endpoint at the time an attempt was sent to it.
 *
 * @param inFlight the number of in-flight requests of all gateways at the endpoint, without this
 *     one
 * @param meanInFlight the mean number of in-flight requests of the endpoints of its service
 * @param promptTokens the length of the prompt in tokens, zero for a call
 * @param cachedTokens the number of tokens of the prompt that the endpoint has cached or is
 *     prefilling
 * @param transferredTokens the number of further tokens that another engine transfers
 * @param cacheSource the engine that transfers them, empty if there is none
 * @param startedAtMs the start of the endpoint's process, in Unix milliseconds, by which the end of
 *     the attempt is attributed to the same run of the endpoint
 * @param awaitMs the wait for segments that the endpoint prefills for another request, in
 *     milliseconds
 * @param heldTokens the number of tokens that the request occupies in the KV cache at most
 * @param expectedMs the expected time to the first event or, for a call, to its end, in
 *     milliseconds, zero if it is unknown
 */
public record PlacementSnapshot(
    int inFlight,
    double meanInFlight,
    long promptTokens,
    long cachedTokens,
    long transferredTokens,
    Optional<EndpointId> cacheSource,
    long startedAtMs,
    long awaitMs,
    long heldTokens,
    long expectedMs) {

  /**
   * Returns the number of prompt tokens that the endpoint has to prefill itself.
   *
   * @return the tokens that are neither cached, nor being prefilled, nor transferred
   */
  public long prefillTokens() {
    return promptTokens - cachedTokens - transferredTokens;
  }
}
