package org.bulrushweir.relay;

import java.util.Optional;
import java.util.Set;
import org.bulrushweir.api.EndpointId;

/** Selects the endpoints for the attempts of one request and limits its retries. */
public interface EndpointSource {

  /**
   * Selects the endpoint for the next attempt.
   *
   * @param excluded the endpoints that were already tried, including unreachable ones
   * @param nowMs the current time, in Unix milliseconds
   * @return the endpoint, empty if none is left
   */
  Optional<EndpointId> next(Set<EndpointId> excluded, long nowMs);

  /**
   * Withdraws one retry from the common retry budget of the gateways.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return false if the budget is exhausted
   */
  boolean tryRetry(long nowMs);

  /**
   * Withdraws one retry from the part of the budget that requests may use which have not failed.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return false if that part is exhausted
   */
  default boolean tryEarlyRetry(final long nowMs) {
    return false;
  }

  /**
   * Returns the delay after which a refused caller should retry.
   *
   * @return the delay in milliseconds
   */
  long retryAfterMs();
}
