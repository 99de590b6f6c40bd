package org.bulrushweir.relay;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.bulrushweir.api.EndpointId;

/** Proposes the endpoints of a list in order, and pays for a number of repeats. */
final class ScriptedEndpoints implements EndpointSource {

  static final long RETRY_AFTER_MS = 250;

  private final List<EndpointId> endpoints;
  private int repeatsLeft;

  /**
   * Creates the endpoints e1, e2 and so on.
   *
   * @param count how many endpoints
   * @param repeats how many repeats are paid for
   */
  ScriptedEndpoints(final int count, final int repeats) {
    endpoints =
        IntStream.rangeClosed(1, count).mapToObj(number -> new EndpointId("e" + number)).toList();
    repeatsLeft = repeats;
  }

  @Override
  public Optional<EndpointId> next(final Set<EndpointId> excluded, final long nowMs) {
    return endpoints.stream().filter(endpoint -> !excluded.contains(endpoint)).findFirst();
  }

  @Override
  public boolean tryRetry(final long nowMs) {
    if (repeatsLeft == 0) {
      return false;
    }
    repeatsLeft--;
    return true;
  }

  @Override
  public long retryAfterMs() {
    return RETRY_AFTER_MS;
  }
}
