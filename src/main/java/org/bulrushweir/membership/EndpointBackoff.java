package org.bulrushweir.membership;

import java.util.HashMap;
import java.util.Map;
import org.bulrushweir.api.EndpointId;

/** Tracks an exponential backoff for each endpoint that could not be reached. Not thread-safe. */
public final class EndpointBackoff {

  /** Backoff after the first failure, in milliseconds. */
  private static final long INITIAL_BACKOFF_MS = 1_000;

  /** Upper bound of the backoff, which doubles with each further failure, in milliseconds. */
  private static final long MAXIMUM_BACKOFF_MS = 8_000;

  /** Backoffs of the endpoints that have failed since they were last reached. */
  private final Map<EndpointId, Backoff> backoffs = new HashMap<>();

  /**
   * Records a failure to reach an endpoint. A failure during a running backoff does not extend it.
   *
   * @param endpoint the endpoint
   * @param nowMs the current time in milliseconds of the process's clock
   */
  public void recordFailure(final EndpointId endpoint, final long nowMs) {
    final Backoff known = backoffs.get(endpoint);
    if (known != null && nowMs < known.untilMs()) {
      return;
    }
    final long lastMs = known == null ? 0 : known.backoffMs();
    final long backoffMs = Math.min(MAXIMUM_BACKOFF_MS, Math.max(INITIAL_BACKOFF_MS, 2 * lastMs));
    backoffs.put(endpoint, new Backoff(backoffMs, nowMs + backoffMs));
  }

  /**
   * Records that an endpoint was reached, which ends its backoff.
   *
   * @param endpoint the endpoint
   */
  public void recordSuccess(final EndpointId endpoint) {
    backoffs.remove(endpoint);
  }

  /**
   * Returns whether an endpoint is backed off and should be avoided.
   *
   * @param endpoint the endpoint
   * @param nowMs the current time in milliseconds of the process's clock
   * @return true until the backoff after the last counted failure has elapsed; false for an
   *     endpoint without failures
   */
  public boolean isBackedOff(final EndpointId endpoint, final long nowMs) {
    final Backoff known = backoffs.get(endpoint);
    return known != null && nowMs < known.untilMs();
  }

  /**
   * Holds the current backoff of an endpoint.
   *
   * @param backoffMs the length of the backoff in milliseconds
   * @param untilMs the end of the backoff in milliseconds of the process's clock
   */
  private record Backoff(long backoffMs, long untilMs) {}
}
