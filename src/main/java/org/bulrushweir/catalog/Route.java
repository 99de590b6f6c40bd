package org.bulrushweir.catalog;

import java.util.List;
import org.bulrushweir.api.ServiceName;

/**
 * Describes a route of callers' requests to services.
 *
 * @param name its name
 * @param host the host that requests name, in lower case
 * @param prefix the start of the paths, with a slash at both ends
 * @param kind what may be repeated
 * @param timeoutMs how long a request may be kept waiting, in milliseconds
 * @param latencyTargetMs within which an answer (its first event) is on time, in milliseconds
 * @param priority its rank, 0 is the most urgent
 * @param services the services that take its requests
 * @param maxAttempts to how many endpoints one request may be sent
 * @param open whether callers need no key
 * @param sticky whether its requests carry prompts with shared parts
 * @param resumable whether a broken stream may go on at another endpoint
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

  /** Copies the list of services. */
  public Route {
    services = List.copyOf(services);
  }

  /**
   * Tells whether a request may run more than once.
   *
   * @return true for safe requests and for streams that may be resumed
   */
  public boolean retryable() {
    return kind == RequestKind.SAFE || kind == RequestKind.STREAM && resumable;
  }

  /**
   * Chooses the service for a request by the weights.
   *
   * @param draw any number; equal numbers give equal services
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
    long point = Math.floorMod(draw, total);
    for (final WeightedService entry : services) {
      point -= entry.weight();
      if (point < 0) {
        return entry.service();
      }
    }
    return services.getLast().service();
  }
}
