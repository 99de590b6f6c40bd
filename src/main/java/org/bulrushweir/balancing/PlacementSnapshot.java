package org.bulrushweir.balancing;

import java.util.Optional;
import org.bulrushweir.api.EndpointId;

/**
 * Says what was known of an endpoint when a request was sent there.
 *
 * @param inFlight how many requests of all routers it had, this one not included
 * @param meanInFlight how many the endpoints of its service had on average
 * @param promptTokens the length of the prompt, zero for calls
 * @param cachedTokens how much of the prompt it held
 * @param transferredTokens how much of the rest another engine hands over
 * @param cacheSource the engine that hands it over, empty if there is none
 * @param awaitMs how long to wait for parts that the endpoint reads for another request, in
 *     milliseconds
 */
public record PlacementSnapshot(
    int inFlight,
    double meanInFlight,
    long promptTokens,
    long cachedTokens,
    long transferredTokens,
    Optional<EndpointId> cacheSource,
    long awaitMs) {

  /**
   * Returns how much the endpoint has to read itself.
   *
   * @return the number of tokens
   */
  public long prefillTokens() {
    return promptTokens - cachedTokens - transferredTokens;
  }
}
