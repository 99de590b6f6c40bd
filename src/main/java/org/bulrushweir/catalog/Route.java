package org.bulrushweir.catalog;

import java.util.List;
import org.bulrushweir.api.ServiceName;

/**
 * A route from the requests of callers to services.
 *
 * @param name the name of the route
 * @param host the host that requests name, in lower case
 * @param prefix the path prefix, with a slash at both ends
 * @param kind the kind of the requests, which decides together with {@code resumable} whether they
 *     may be retried
 * @param timeoutMs the longest time until the response to a request is complete, in milliseconds
 * @param latencyTargetMs the latency objective of a response or of the first event of a stream, in
 *     milliseconds
 * @param priority the priority of the requests; 0 is the most urgent
 * @param services the services that receive the requests, not empty
 * @param maxAttempts the highest number of endpoints at which a request may run
 * @param open whether callers need no API key
 * @param sticky whether the requests have prompts with shared segments
 * @param resumable whether another endpoint may resume a broken stream
 */
public record Route(
    String name,
    String host,
    String prefix,
    RequestKind kind,
    long timeoutMs,
    long latencyTargetMs,
    int priority,
    List<WeightedService> services,
    int maxAttempts,
    boolean open,
    boolean sticky,
    boolean resumable) {

  /** Creates a route with a copy of the list of services. */
  public Route {
    services = List.copyOf(services);
  }

  /**
   * Returns whether a request may run more than once.
   *
   * @return true for idempotent requests and for resumable streams
   */
  public boolean retryable() {
    return kind == RequestKind.SAFE || kind == RequestKind.STREAM && resumable;
  }

  /**
   * Selects the service for a request by weight.
   *
   * @param draw any number; equal numbers select the same service
   * @return the service
   */
  public ServiceName serviceFor(final long draw) {
    long total = 0;
    for (final WeightedService entry : services) {
      total += entry.weight();
    }
    if (total == 0) {
      return services.getFirst().service();
    }
    long remainder = Math.floorMod(draw, total);
    for (final WeightedService entry : services) {
      remainder -= entry.weight();
      if (remainder < 0) {
        return entry.service();
      }
    }
    return services.getLast().service();
  }
}
