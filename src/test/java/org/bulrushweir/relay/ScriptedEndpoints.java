package org.bulrushweir.relay;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.bulrushweir.api.EndpointId;

/** Selects the endpoints of a list in order and grants a fixed number of retries. */
final class ScriptedEndpoints implements EndpointSource {

  static final long RETRY_AFTER_MS = 250;

  private final List<EndpointId> endpoints;
  private int retriesLeft;
  private int earlyRetriesLeft;

  /**
   * Creates the endpoints e1, e2 and so on.
   *
   * @param count the number of endpoints
   * @param retries the number of retries that are granted
   */
  ScriptedEndpoints(final int count, final int retries) {
    endpoints =
        IntStream.rangeClosed(1, count).mapToObj(number -> new EndpointId("e" + number)).toList();
    retriesLeft = retries;
  }

  /** Grants a number of further retries. */
  void allowRetries(final int retries) {
    retriesLeft += retries;
  }

  /** Grants a number of further retries to requests that have not failed. */
  void allowEarlyRetries(final int retries) {
    earlyRetriesLeft += retries;
  }

  @Override
  public boolean tryEarlyRetry(final long nowMs) {
    earlyRetriesLeft--;
    return earlyRetriesLeft >= 0;
  }

  @Override
  public Optional<EndpointId> next(final Set<EndpointId> excluded, final long nowMs) {
    return endpoints.stream().filter(endpoint -> !excluded.contains(endpoint)).findFirst();
  }

  @Override
  public boolean tryRetry(final long nowMs) {
    if (retriesLeft == 0) {
      return false;
    }
    retriesLeft--;
    return true;
  }

  @Override
  public long retryAfterMs() {
    return RETRY_AFTER_MS;
  }
}
