package org.bulrushweir.balancing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.routing.BitMixer;

/**
 * Chooses the endpoint for a request.
 *
 * <p>A prompt goes where it is read soonest with the least harm to others. Tokens that no engine
 * has cached count several times, since reading them also delays the engine's other answers; tokens
 * that another engine can hand over count less. Prompts whose first part no engine holds have a
 * home among the engines, found by hashing that part: prompts that share it meet there, and routers
 * that have not heard of each other's choices agree. A call goes to the endpoint that has the
 * smallest share of its slots in use.
 */
public final class EndpointSelector {

  /** How many times the reading of a part that is not cached counts. */
  private static final double MISS_WEIGHT = 4;

  /** How many times the reading of a part that another engine hands over counts. */
  private static final double FETCH_WEIGHT = 1;

  /** Which share of the reading a home is credited with before it has read the part. */
  private static final double HOME_CREDIT = 0.6;

  /** What each running request adds to the others' time, in milliseconds. */
  private static final double RUNNING_MS = 1;

  /** What a way to another availability zone counts, in milliseconds: a round trip. */
  private static final double OTHER_ZONE_MS = 3;

  /**
   * What is added to the bound on the load, in requests, so that few requests may share an engine.
   */
  private static final double BOUND_EXTRA = 1;

  /**
   * Which share of the bound on the load is used: the mean that it is computed from counts requests
   * that have ended where a slow router has not noticed, or that have not been sent yet.
   */
  private static final double BOUND_SHARE = 0.85;

  private final EndpointTracker tracker;
  private final ZoneName zone;
  private final SelectorSettings settings;

  /**
   * Creates a selector.
   *
   * @param tracker what is known of the endpoints
   * @param zone this router's availability zone
   * @param settings its settings
   */
  public EndpointSelector(
      final EndpointTracker tracker, final ZoneName zone, final SelectorSettings settings) {
    this.tracker = tracker;
    this.zone = zone;
    this.settings = settings;
  }

  /**
   * Chooses an endpoint.
   *
   * @param service the service
   * @param prompt the request's prompt, empty for a call
   * @param draw decides among equals
   * @param excluded endpoints that the request has been to
   * @param nowMs the current time
   * @return the endpoint, empty if none takes new work
   */
  public Optional<EndpointId> choose(
      final ServiceName service,
      final List<PromptSegment> prompt,
      final long draw,
      final Set<EndpointId> excluded,
      final long nowMs) {
    final List<EndpointState> candidates = tracker.candidates(service);
    if (prompt.isEmpty()) {
      return best(candidates, excluded, state -> callCost(state, draw, nowMs), nowMs);
    }
    final double bound = bound(candidates, nowMs);
    final EndpointState home = home(candidates, prompt, nowMs);
    final int held = tracker.mostCached(service, prompt, nowMs);
    return best(
        candidates,
        excluded,
        state ->
            state.inFlight(nowMs) >= bound
                ? bound + state.inFlight(nowMs) * settings.overBoundMs()
                : promptCost(state, prompt, home, held, nowMs),
        nowMs);
  }

  /** Returns the least costly candidate, those that are suspect last. */
  private static Optional<EndpointId> best(
      final List<EndpointState> candidates,
      final Set<EndpointId> excluded,
      final ToDoubleFunction<EndpointState> cost,
      final long nowMs) {
    EndpointState best = null;
    double bestCost = 0;
    boolean bestSuspect = true;
    for (final EndpointState state : candidates) {
      if (excluded.contains(state.entry().id())) {
        continue;
      }
      final boolean suspect = state.isSuspect(nowMs);
      final double stateCost = cost.applyAsDouble(state);
      final boolean better = suspect == bestSuspect ? stateCost < bestCost : bestSuspect;
      if (best == null || better) {
        best = state;
        bestCost = stateCost;
        bestSuspect = suspect;
      }
    }
    return Optional.ofNullable(best).map(state -> state.entry().id());
  }

  private double callCost(final EndpointState state, final long draw, final long nowMs) {
    final double used = (double) state.inFlight(nowMs) / Math.max(1, state.entry().slots());
    final double zoneCost = state.entry().zone().equals(zone) ? 0 : settings.otherZoneShare();
    return used + zoneCost + fraction(draw ^ state.key()) * settings.tieShare();
  }

  private double promptCost(
      final EndpointState state,
      final List<PromptSegment> prompt,
      final EndpointState home,
      final int held,
      final long nowMs) {
    final long total = PromptSegment.tokens(prompt);
    final long shared = total - prompt.getLast().tokens();
    final int cached = state.prefixes().cachedTokens(prompt);
    final int fetched = Math.max(0, held - cached);
    double missed = total - cached - fetched;
    if (state == home && held < shared) {
      missed -= HOME_CREDIT * (shared - held);
    }
    final double readMs =
        (MISS_WEIGHT * missed + FETCH_WEIGHT * fetched + state.pendingTokens(nowMs))
            / settings.prefillTokensPerMs();
    final double zoneMs = state.entry().zone().equals(zone) ? 0 : OTHER_ZONE_MS;
    return readMs + RUNNING_MS * state.inFlight(nowMs) + zoneMs;
  }

  /** Returns how many requests an endpoint may have before others are preferred. */
  private double bound(final List<EndpointState> candidates, final long nowMs) {
    final double mean = EndpointTracker.meanInFlight(candidates, nowMs);
    return BOUND_SHARE * settings.loadMultiple() * mean + BOUND_EXTRA;
  }

  /** Finds the engine that the first part of a prompt belongs to. */
  private static EndpointState home(
      final List<EndpointState> candidates, final List<PromptSegment> prompt, final long nowMs) {
    final long part = prompt.getFirst().id();
    EndpointState home = null;
    long greatest = 0;
    for (final EndpointState state : candidates) {
      final long place = BitMixer.mix(part ^ state.key());
      if (!state.isSuspect(nowMs) && (home == null || place > greatest)) {
        home = state;
        greatest = place;
      }
    }
    return home;
  }

  private static double fraction(final long value) {
    return (double) (BitMixer.mix(value) >>> 1) / Long.MAX_VALUE;
  }
}
