package org.bulrushweir.relay;

import java.util.Optional;
import java.util.Set;
import org.bulrushweir.api.EndpointId;

/** Proposes endpoints for one request and pays for repeats. */
public interface EndpointSource {

  /**
   * Proposes an endpoint.
   *
   * @param excluded endpoints that the request has been to
   * @param nowMs the current time
   * @return the endpoint, empty if there is none
   */
  Optional<EndpointId> next(Set<EndpointId> excluded, long nowMs);

  /**
   * Takes a repeat out of the routers' common budget.
   *
   * @param nowMs the current time
   * @return false if the budget is used up
   */
  boolean tryRetry(long nowMs);

  /**
   * Advises when a caller that is refused should come again.
   *
   * @return the time in milliseconds
   */
  long retryAfterMs();
}
