package org.bulrushweir.delivery;

import java.util.Optional;
import java.util.Set;
import org.bulrushweir.api.EndpointId;

/** Proposes endpoints for the attempts of one request, best first. */
public interface CandidateSource {

  /**
   * Proposes an endpoint.
   *
   * @param tried the endpoints that have been tried
   * @param movedTo where the chat's cache is said to be, null if unknown
   * @return an endpoint that has not been tried, empty if none is left
   */
  Optional<EndpointId> next(Set<EndpointId> tried, EndpointId movedTo);

  /**
   * Guesses where the cache of the request's chat is, if not at the endpoint that it goes to.
   *
   * @param endpoint the endpoint that the request goes to
   * @return another endpoint, empty if there is no reason to look elsewhere
   */
  default Optional<EndpointId> cacheAt(final EndpointId endpoint) {
    return Optional.empty();
  }
}
