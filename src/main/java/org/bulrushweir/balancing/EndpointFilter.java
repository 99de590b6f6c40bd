package org.bulrushweir.balancing;

import org.bulrushweir.catalog.EndpointRecord;

/** Decides which registered endpoints may get new requests. */
@FunctionalInterface
public interface EndpointFilter {

  /**
   * Returns whether an endpoint may get a new request.
   *
   * @param endpoint the endpoint, which does not drain
   * @param nowMs the current time, in Unix milliseconds
   * @return false to keep new requests away from it
   */
  boolean accepts(EndpointRecord endpoint, long nowMs);

  /**
   * Combines two filters.
   *
   * @param other the other filter
   * @return a filter that accepts what both accept
   */
  default EndpointFilter and(final EndpointFilter other) {
    return (endpoint, nowMs) -> accepts(endpoint, nowMs) && other.accepts(endpoint, nowMs);
  }
}
