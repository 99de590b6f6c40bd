package org.bulrushweir.relay;

import java.util.HashMap;
import java.util.Map;
import org.bulrushweir.catalog.EndpointRecord;

/**
 * Decides whether a connection to an endpoint may carry a further request. An endpoint that has
 * sent bytes which belong to no request gets a connection for each request for a while: on a reused
 * one, a few bytes of an earlier response inside the next one can't be told from it.
 */
public final class ConnectionReusePolicy {

  /** The time for which connections to an endpoint are not reused, in milliseconds. */
  public static final long PAUSE_MS = 30_000;

  private final Map<EndpointRecord, Long> pausedUntilMs = new HashMap<>();

  /** Creates a policy that trusts all endpoints. */
  public ConnectionReusePolicy() {}

  /**
   * Records that an endpoint has sent bytes that belong to no request.
   *
   * @param endpoint the endpoint
   * @param nowMs the current time, in Unix milliseconds
   */
  public void recordUnexpectedBytes(final EndpointRecord endpoint, final long nowMs) {
    pausedUntilMs.put(endpoint, nowMs + PAUSE_MS);
  }

  /**
   * Returns whether connections to an endpoint may be reused.
   *
   * @param endpoint the endpoint
   * @param nowMs the current time, in Unix milliseconds
   * @return false if each request needs a new connection
   */
  public boolean mayReuse(final EndpointRecord endpoint, final long nowMs) {
    return nowMs >= pausedUntilMs.getOrDefault(endpoint, Long.MIN_VALUE);
  }

  /**
   * Removes the endpoints whose connections may be reused again.
   *
   * @param nowMs the current time, in Unix milliseconds
   */
  public void removeExpired(final long nowMs) {
    pausedUntilMs.values().removeIf(untilMs -> nowMs >= untilMs);
  }

  /**
   * Returns the number of endpoints whose connections are not reused.
   *
   * @return the count, with those that have not been removed yet
   */
  public int size() {
    return pausedUntilMs.size();
  }
}
