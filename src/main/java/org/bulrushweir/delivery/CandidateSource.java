package org.bulrushweir.delivery;

import java.util.Optional;
import java.util.Set;
import org.bulrushweir.api.EndpointId;

/** Selects endpoints for the attempts of one request, best first. */
public interface CandidateSource {

  /**
   * Selects the next endpoint.
   *
   * @param tried the endpoints that earlier attempts were sent to
   * @param movedTo the endpoint that has the chat's KV cache according to a refusing endpoint, null
   *     if none was named
   * @return the best endpoint that is not in {@code tried}, empty if none is left
   */
  Optional<EndpointId> next(Set<EndpointId> tried, EndpointId movedTo);

  /**
   * Returns another endpoint that is likely to have the KV cache of the request's chat.
   *
   * @param endpoint the endpoint that the request is sent to
   * @return an endpoint from which the cache can be transferred, empty if none is known
   */
  default Optional<EndpointId> cacheAt(final EndpointId endpoint) {
    return Optional.empty();
  }
}
