package org.bulrushweir.coldstart;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Function;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.balancing.EndpointFilter;
import org.bulrushweir.balancing.PromptSegment;
import org.bulrushweir.catalog.EndpointRecord;

/**
 * Limits the requests that this gateway sends to cold endpoints, so that all gateways together stay
 * within the bound of each endpoint. Requests to warm endpoints are counted as well, because an
 * endpoint may become cold at any time.
 *
 * <p>Not thread-safe; the caller confines it to one thread.
 */
public final class ColdBudget implements EndpointFilter {

  /**
   * The smallest number of tokens that a prompt must share with others to be a good use of a cold
   * endpoint. It exceeds a usual short prompt of 713 tokens.
   */
  private static final long LONG_SHARED_TOKENS = 1_024;

  /** Only long shared prompts get the last part of a share, which is one in this number. */
  private static final int LAST_PART_DIVISOR = 3;

  /**
   * The time after which a request should be tried again that no endpoint could take, in
   * milliseconds, before the random part.
   */
  private static final long RETRY_AFTER_MS = 600;

  private final Map<EndpointId, SendWindow> windows = new HashMap<>();
  private final Map<EndpointId, Integer> ranks = new HashMap<>();
  private final ColdEndpoints endpoints;
  private final GatewayView view;
  private final Function<ServiceName, OptionalInt> bounds;
  private long ranksVersion;
  private long keptAway;

  /**
   * Creates a budget.
   *
   * @param endpoints tells which endpoints are cold
   * @param view tells which gateways may be running
   * @param bounds tells how many requests all gateways together may send to a cold endpoint of a
   *     service in any second, empty for no limit
   */
  public ColdBudget(
      final ColdEndpoints endpoints,
      final GatewayView view,
      final Function<ServiceName, OptionalInt> bounds) {
    this.endpoints = endpoints;
    this.view = view;
    this.bounds = bounds;
  }

  /**
   * Reservations don't count here, so that a reserved request is still accepted when it is sent.
   */
  @Override
  public boolean accepts(final EndpointRecord endpoint, final long nowMs) {
    return !isLimited(endpoint, nowMs) || sends(endpoint.id(), nowMs) < share(endpoint, nowMs);
  }

  private boolean isLimited(final EndpointRecord endpoint, final long nowMs) {
    return endpoints.coldForMs(endpoint.id(), nowMs) > 0
        && bounds.apply(endpoint.service()).isPresent();
  }

  private int sends(final EndpointId endpoint, final long nowMs) {
    final SendWindow window = windows.get(endpoint);
    return window == null ? 0 : window.sends(nowMs);
  }

  private int reservations(final EndpointId endpoint, final long nowMs) {
    final SendWindow window = windows.get(endpoint);
    return window == null ? 0 : window.reservations(nowMs);
  }

  /** Returns how many requests this gateway may send to a cold endpoint in a second. */
  int share(final EndpointRecord endpoint, final long nowMs) {
    if (view.noShareReason(nowMs).isPresent()) {
      return 0;
    }
    if (ranksVersion != view.version()) {
      ranksVersion = view.version();
      ranks.clear();
    }
    final int rank = ranks.computeIfAbsent(endpoint.id(), id -> view.rank(id.value()));
    return ShareRule.share(bounds.apply(endpoint.service()).orElseThrow(), view.size(), rank);
  }

  /**
   * Returns the endpoints that a request must not be sent to. A prompt that is short or that other
   * requests don't share leaves the last part of a share to those that warm the endpoint's cache.
   *
   * @param candidates the endpoints of the request's service
   * @param prompt the segments of the request's prompt in order, empty for a call
   * @param nowMs the current time, in Unix milliseconds
   * @return the endpoints, empty if none is cold
   */
  public Set<EndpointId> unavailable(
      final Collection<EndpointRecord> candidates,
      final List<PromptSegment> prompt,
      final long nowMs) {
    final Set<EndpointId> unavailable = previewUnavailable(candidates, prompt, nowMs);
    keptAway += unavailable.isEmpty() ? 0 : 1;
    return unavailable;
  }

  /**
   * Returns the same as {@link #unavailable} without counting the request.
   *
   * @param candidates the endpoints of the request's service
   * @param prompt the segments of the request's prompt in order, empty for a call
   * @param nowMs the current time, in Unix milliseconds
   * @return the endpoints, empty if none is cold
   */
  public Set<EndpointId> previewUnavailable(
      final Collection<EndpointRecord> candidates,
      final List<PromptSegment> prompt,
      final long nowMs) {
    Set<EndpointId> unavailable = Set.of();
    for (final EndpointRecord endpoint : candidates) {
      if (isLimited(endpoint, nowMs) && !hasRoom(endpoint, prompt, nowMs)) {
        unavailable = unavailable.isEmpty() ? new HashSet<>() : unavailable;
        unavailable.add(endpoint.id());
      }
    }
    return unavailable;
  }

  /**
   * Returns how long an endpoint stays cold.
   *
   * @param endpoint the endpoint
   * @param nowMs the current time, in Unix milliseconds
   * @return the time in milliseconds, zero if it is warm
   */
  public long coldForMs(final EndpointRecord endpoint, final long nowMs) {
    return endpoints.coldForMs(endpoint.id(), nowMs);
  }

  private boolean hasRoom(
      final EndpointRecord endpoint, final List<PromptSegment> prompt, final long nowMs) {
    final int share = share(endpoint, nowMs);
    final int left = share - sends(endpoint.id(), nowMs) - reservations(endpoint.id(), nowMs);
    final boolean lastPart = left * LAST_PART_DIVISOR < share;
    return left > 0 && (!lastPart || prompt.isEmpty() || isLongShared(prompt));
  }

  private static boolean isLongShared(final List<PromptSegment> prompt) {
    return PromptSegment.tokens(PromptSegment.shared(prompt)) >= LONG_SHARED_TOKENS;
  }

  /**
   * Records that a request is about to be sent to an endpoint, once it has a connection.
   *
   * @param endpoint the endpoint
   * @param nowMs the current time, in Unix milliseconds
   */
  public void reserve(final EndpointRecord endpoint, final long nowMs) {
    if (isLimited(endpoint, nowMs)) {
      window(endpoint.id()).reserve(nowMs);
    }
  }

  /**
   * Decides whether a request is sent now, and records that it is.
   *
   * @param endpoint the endpoint
   * @param nowMs the current time, in Unix milliseconds
   * @return false if the endpoint is cold and the share of this gateway is used up
   */
  public boolean trySend(final EndpointRecord endpoint, final long nowMs) {
    if (bounds.apply(endpoint.service()).isEmpty()) {
      return true;
    }
    if (!accepts(endpoint, nowMs)) {
      keptAway++;
      return false;
    }
    window(endpoint.id()).recordSend(nowMs);
    return true;
  }

  /**
   * Records that a request that was sent is answered, or ends without an answer.
   *
   * @param endpoint the endpoint
   * @param nowMs the current time, in Unix milliseconds
   */
  public void recordAnswer(final EndpointId endpoint, final long nowMs) {
    final SendWindow window = windows.get(endpoint);
    if (window != null) {
      window.recordAnswer(nowMs);
    }
  }

  private SendWindow window(final EndpointId endpoint) {
    return windows.computeIfAbsent(endpoint, id -> new SendWindow());
  }

  /**
   * Returns when a request should be tried again that no endpoint of its service could take.
   *
   * @param candidates the endpoints of the service
   * @param nowMs the current time, in Unix milliseconds
   * @return the time from now in milliseconds, zero if any of the endpoints takes requests or if
   *     there are none
   */
  public long retryAfterMs(final Collection<EndpointRecord> candidates, final long nowMs) {
    boolean anyCold = false;
    for (final EndpointRecord endpoint : candidates) {
      if (!endpoint.draining()) {
        if (!isLimited(endpoint, nowMs)) {
          return 0;
        }
        anyCold = true;
      }
    }
    return anyCold ? RETRY_AFTER_MS : 0;
  }

  /**
   * Drops what no longer counts. To be called periodically.
   *
   * @param nowMs the current time, in Unix milliseconds
   */
  public void update(final long nowMs) {
    view.update(nowMs);
    windows
        .values()
        .removeIf(window -> window.sends(nowMs) == 0 && window.reservations(nowMs) == 0);
  }

  /**
   * Returns how often a request was kept away from a cold endpoint.
   *
   * @return the number since the start
   */
  public long keptAway() {
    return keptAway;
  }
}
