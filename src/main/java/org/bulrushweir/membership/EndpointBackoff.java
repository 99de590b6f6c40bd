package org.bulrushweir.membership;

import java.util.HashMap;
import java.util.Map;
import org.bulrushweir.api.EndpointId;

/**
 * Remembers which endpoints could not be reached, and for how long to avoid them. Not safe for use
 * by many threads.
 */
public final class EndpointBackoff {

  /** How long an endpoint is avoided after its first failure, in milliseconds. */
  private static final long FIRST_AVOIDANCE_MS = 1_000;

  /** How long it is avoided at the most, in milliseconds. */
  private static final long MAXIMUM_AVOIDANCE_MS = 8_000;

  /** The failures since the last success. */
  private final Map<EndpointId, Failures> failures = new HashMap<>();

  /**
   * Takes note that an endpoint could not be reached.
   *
   * @param endpoint the endpoint
   * @param nowMs the current time
   */
  public void recordFailure(final EndpointId endpoint, final long nowMs) {
    final Failures known = failures.get(endpoint);
    if (known != null && nowMs < known.avoidUntilMs()) {
      return;
    }
    final long lastMs = known == null ? 0 : known.avoidanceMs();
    final long avoidanceMs =
        Math.min(MAXIMUM_AVOIDANCE_MS, Math.max(FIRST_AVOIDANCE_MS, 2 * lastMs));
    failures.put(endpoint, new Failures(avoidanceMs, nowMs + avoidanceMs));
  }

  /**
   * Takes note that an endpoint was reached.
   *
   * @param endpoint the endpoint
   */
  public void recordSuccess(final EndpointId endpoint) {
    failures.remove(endpoint);
  }

  /**
   * Tells whether to avoid an endpoint.
   *
   * @param endpoint the endpoint
   * @param nowMs the current time
   * @return true if it could not be reached lately
   */
  public boolean isBackedOff(final EndpointId endpoint, final long nowMs) {
    final Failures known = failures.get(endpoint);
    return known != null && nowMs < known.avoidUntilMs();
  }

  /**
   * Sums up the failures of an endpoint.
   *
   * @param avoidanceMs for how long it is avoided, in milliseconds
   * @param avoidUntilMs until when it is avoided, in milliseconds
   */
  private record Failures(long avoidanceMs, long avoidUntilMs) {}
}
