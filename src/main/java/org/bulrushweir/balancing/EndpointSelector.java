package org.bulrushweir.balancing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.routing.BitMixer;

/**
 * Selects the endpoint for a request at a gateway; routers with sidecars use {@code EndpointPool}.
 * A call is a request without a prompt.
 *
 * <p>A prompt goes to the engine with the lowest cost, which is an estimate of the time to first
 * token and of the delay for the other requests of that engine. Tokens that no engine has cached
 * are weighted several times, because their prefill also delays the running requests; tokens that
 * another engine can transfer are weighted less. While no engine has cached all shared segments of
 * a prompt, the engine that rendezvous hashing of these segments picks gets a discount on their
 * prefill. Prompts that share them then meet at one engine, and gateways agree on it even before
 * they have exchanged reports. Engines at or above the load bound get a cost that grows with their
 * load instead, so that others are preferred. A call goes to the endpoint with the smallest share
 * of its slots in use, with a penalty for other availability zones and a small random term.
 */
public final class EndpointSelector {

  /**
   * The number of requests that is added to the load bound, so that an engine can serve a few
   * requests while the mean load is low.
   */
  private static final double BOUND_ALLOWANCE = 1;

  /**
   * The share of the load bound that is used. The rest compensates for a mean load that is too
   * high: it also counts requests that have ended but that a slow gateway still reports, and
   * requests that are not yet sent.
   */
  private static final double BOUND_SHARE = 0.85;

  private final EndpointTracker tracker;
  private final ZoneName zone;
  private final SelectorSettings settings;

  /**
   * Creates a selector.
   *
   * @param tracker the load, cache and health state of the endpoints
   * @param zone this gateway's availability zone
   * @param settings the settings of the selection
   */
  public EndpointSelector(
      final EndpointTracker tracker, final ZoneName zone, final SelectorSettings settings) {
    this.tracker = tracker;
    this.zone = zone;
    this.settings = settings;
  }

  /**
   * Selects an endpoint.
   *
   * @param service the service of the request
   * @param prompt the segments of the request's prompt in order, empty for a call
   * @param draw a pseudo-random number that breaks ties between endpoints of a call
   * @param excluded the endpoints that were already tried, including unreachable ones
   * @param nowMs the current time, in Unix milliseconds
   * @return the endpoint, empty if no endpoint is left that accepts new requests
   */
  public Optional<EndpointId> choose(
      final ServiceName service,
      final List<PromptSegment> prompt,
      final long draw,
      final Set<EndpointId> excluded,
      final long nowMs) {
    return choose(new RequestProfile(service, prompt, 0, Long.MAX_VALUE), draw, excluded, nowMs);
  }

  /**
   * Selects an endpoint.
   *
   * @param request the request
   * @param draw a pseudo-random number that breaks ties between endpoints of a call
   * @param excluded the endpoints that were already tried, including unreachable ones
   * @param nowMs the current time, in Unix milliseconds
   * @return the endpoint, empty if no endpoint is left that accepts new requests
   */
  public Optional<EndpointId> choose(
      final RequestProfile request,
      final long draw,
      final Set<EndpointId> excluded,
      final long nowMs) {
    final List<EndpointState> candidates = tracker.candidates(request.service(), nowMs);
    final EjectionPolicy ejection = new EjectionPolicy(candidates, nowMs);
    final EndpointCost cost = cost(candidates, ejection, request, draw, nowMs);
    return best(candidates, excluded, cost, ejection, nowMs);
  }

  /**
   * Explains which endpoint would be selected. Changes nothing.
   *
   * @param request the request
   * @param draw a pseudo-random number that breaks ties between endpoints of a call
   * @param excluded the endpoints that the request must not be sent to
   * @param nowMs the current time, in Unix milliseconds
   * @return the endpoints that are neither draining nor filtered out, the most preferred first; the
   *     first one would be selected if it is selectable
   */
  public List<EndpointExplanation> explain(
      final RequestProfile request,
      final long draw,
      final Set<EndpointId> excluded,
      final long nowMs) {
    final List<EndpointState> candidates = tracker.candidates(request.service(), nowMs);
    final EjectionPolicy ejection = new EjectionPolicy(candidates, nowMs);
    final EndpointCost cost = cost(candidates, ejection, request, draw, nowMs);
    return candidates.stream()
        .map(
            state ->
                explain(state, cost, request, standing(state, excluded, ejection, nowMs), nowMs))
        .sorted(
            Comparator.comparing(EndpointExplanation::standing)
                .thenComparingDouble(explanation -> explanation.terms().total()))
        .toList();
  }

  private static EndpointExplanation explain(
      final EndpointState state,
      final EndpointCost cost,
      final RequestProfile request,
      final EndpointExplanation.Standing standing,
      final long nowMs) {
    final boolean isHashOwner = cost instanceof PromptCost prompt && prompt.isHashOwner(state);
    return new EndpointExplanation(
        state.entry(),
        standing,
        cost.terms(state),
        isHashOwner,
        state.prefixCache().cachedTokens(request.prompt()),
        cost instanceof PromptCost prompt ? prompt.transferredTokens(state) : 0,
        state.inFlight(nowMs),
        state.ownInFlight(),
        state.pace().at(nowMs),
        state.health().heldOffForMs(nowMs),
        state.ownSendAgeMs(nowMs),
        state.peerReportAgeMs(nowMs),
        state.pace().statedAgeMs(nowMs));
  }

  private EndpointCost cost(
      final List<EndpointState> candidates,
      final EjectionPolicy ejection,
      final RequestProfile request,
      final long draw,
      final long nowMs) {
    final ServiceName service = request.service();
    final List<PromptSegment> prompt = request.prompt();
    if (prompt.isEmpty()) {
      return settings.statedLoad()
          ? new CallCost(candidates, zone, tracker.observations().callMeanMs(service), draw, nowMs)
          : state -> callTerms(state, draw, nowMs);
    }
    return new PromptCost(
        settings,
        zone,
        request,
        HashOwner.find(candidates, prompt, ejection),
        bound(candidates, nowMs),
        tracker.states().kvCapacityTokens(service),
        tracker.states().maxPrefilledTokens(service, prompt, nowMs),
        nowMs);
  }

  /**
   * Returns the rank of a request at an engine.
   *
   * @param configured the configured rank, 0 is the most urgent
   * @param request the request
   * @param placement the engine's load and cache state before the request
   * @param nowMs the current time, in Unix milliseconds
   * @return the rank, 0 is the most urgent
   */
  public int engineRank(
      final int configured,
      final RequestProfile request,
      final PlacementSnapshot placement,
      final long nowMs) {
    if (!settings.statedLoad()) {
      return configured;
    }
    if (request.prompt().isEmpty()) {
      return EngineRank.withoutPrompt(configured);
    }
    // A prefix that another request prefills may not be ready, so that this one prefills it too.
    final long tokens =
        placement.awaitMs() > 0 ? placement.promptTokens() : placement.prefillTokens();
    return EngineRank.rank(
        configured, tokens / settings.prefillTokensPerMs(), request.targetAtMs() - nowMs);
  }

  /**
   * Returns whether the selection uses what endpoints state about their load.
   *
   * @return true if it does
   */
  public boolean usesStatedLoad() {
    return settings.statedLoad();
  }

  /**
   * Returns the candidate with the lowest cost. An ejected candidate is returned only if no other
   * one is left, and one that wants no requests is never returned.
   */
  private static Optional<EndpointId> best(
      final List<EndpointState> candidates,
      final Set<EndpointId> excluded,
      final EndpointCost cost,
      final EjectionPolicy ejection,
      final long nowMs) {
    EndpointState best = null;
    double bestCost = 0;
    boolean bestEjected = true;
    for (final EndpointState state : candidates) {
      final EndpointExplanation.Standing standing = standing(state, excluded, ejection, nowMs);
      if (standing == EndpointExplanation.Standing.EXCLUDED
          || standing == EndpointExplanation.Standing.HELD_OFF) {
        continue;
      }
      final boolean ejected = standing == EndpointExplanation.Standing.EJECTED;
      final double stateCost = cost.terms(state).total();
      final boolean better = ejected == bestEjected ? stateCost < bestCost : bestEjected;
      if (best == null || better) {
        best = state;
        bestCost = stateCost;
        bestEjected = ejected;
      }
    }
    return Optional.ofNullable(best).map(state -> state.entry().id());
  }

  private static EndpointExplanation.Standing standing(
      final EndpointState state,
      final Set<EndpointId> excluded,
      final EjectionPolicy ejection,
      final long nowMs) {
    if (excluded.contains(state.entry().id())) {
      return EndpointExplanation.Standing.EXCLUDED;
    }
    if (state.health().heldOffForMs(nowMs) > 0) {
      return EndpointExplanation.Standing.HELD_OFF;
    }
    return ejection.avoids(state)
        ? EndpointExplanation.Standing.EJECTED
        : EndpointExplanation.Standing.USABLE;
  }

  private CostTerms callTerms(final EndpointState state, final long draw, final long nowMs) {
    return new CostTerms(
        0,
        0,
        0,
        (double) state.inFlight(nowMs) / Math.max(1, state.entry().slots()),
        0,
        0,
        state.entry().zone().equals(zone) ? 0 : settings.otherZoneShare(),
        unitFraction(draw ^ state.key()) * settings.tieShare(),
        0);
  }

  /**
   * Returns the number of in-flight requests from which other engines are preferred to an engine.
   */
  private double bound(final List<EndpointState> candidates, final long nowMs) {
    final double mean = EndpointStates.meanInFlight(candidates, nowMs);
    return BOUND_SHARE * settings.loadMultiple() * mean + BOUND_ALLOWANCE;
  }

  private static double unitFraction(final long value) {
    return (double) (BitMixer.mix(value) >>> 1) / Long.MAX_VALUE;
  }
}
