package org.bulrushweir.gateway;

import com.google.common.collect.Sets;
import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.balancing.AttemptOutcome;
import org.bulrushweir.balancing.EndpointExplanation;
import org.bulrushweir.balancing.EndpointObservations;
import org.bulrushweir.balancing.EndpointSelector;
import org.bulrushweir.balancing.EndpointTracker;
import org.bulrushweir.balancing.PlacementSnapshot;
import org.bulrushweir.balancing.PromptSegment;
import org.bulrushweir.balancing.RetryBudget;
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.coldstart.ColdBudget;
import org.bulrushweir.quarantine.PromptQuarantine;
import org.bulrushweir.routing.BitMixer;

/**
 * Selects endpoints for attempts and tracks the load, the caches and the retries that result from
 * them.
 *
 * <p>Confined to the event loop.
 */
final class AttemptPlanner {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final EndpointDirectory directory;
  private final EndpointTracker tracker;
  private final EndpointSelector selector;
  private final RetryBudget retryBudget;
  private final PeerMesh mesh;
  private final PromptQuarantine quarantine;
  private final ColdBudget coldBudget;

  /**
   * Creates a planner.
   *
   * @param directory lists the registered endpoints
   * @param tracker tracks load, caches and health of the endpoints
   * @param selector selects endpoints
   * @param retryBudget limits retries
   * @param mesh reports to peers which prompts were sent where
   * @param quarantine the prompt segments that are kept away from engines
   * @param coldBudget limits the requests to cold endpoints
   */
  AttemptPlanner(
      final EndpointDirectory directory,
      final EndpointTracker tracker,
      final EndpointSelector selector,
      final RetryBudget retryBudget,
      final PeerMesh mesh,
      final PromptQuarantine quarantine,
      final ColdBudget coldBudget) {
    this.directory = directory;
    this.tracker = tracker;
    this.selector = selector;
    this.retryBudget = retryBudget;
    this.mesh = mesh;
    this.quarantine = quarantine;
    this.coldBudget = coldBudget;
  }

  /**
   * Records a caller's request, which adds to the retry budget of its service.
   *
   * @param routed the request
   */
  void recordRequest(final RoutedRequest routed) {
    retryBudget.recordRequest(routed.service(), routed.arrivedMs());
  }

  /**
   * Selects an endpoint for a request.
   *
   * @param routed the request
   * @param excluded the endpoints that the request has already been sent to
   * @param nowMs the current time, in Unix milliseconds
   * @return the endpoint, empty if none accepts new work or if the prompt is in quarantine
   */
  Optional<EndpointId> choose(
      final RoutedRequest routed, final Set<EndpointId> excluded, final long nowMs) {
    if (findQuarantined(routed.head().prompt(), nowMs).isPresent()) {
      return Optional.empty();
    }
    return selector.choose(
        routed.profile(),
        BitMixer.mix(routed.head().id().hashCode()),
        withCold(routed, excluded, nowMs),
        nowMs);
  }

  /**
   * Explains which endpoint would be selected for a request. Changes nothing.
   *
   * @param routed the request
   * @param nowMs the current time, in Unix milliseconds
   * @return the endpoints that are neither draining nor filtered out, the most preferred first
   */
  List<EndpointExplanation> explain(final RoutedRequest routed, final long nowMs) {
    final Set<EndpointId> cold =
        coldBudget.previewUnavailable(
            directory.endpoints(routed.service()), routed.head().prompt(), nowMs);
    return selector.explain(
        routed.profile(), BitMixer.mix(routed.head().id().hashCode()), cold, nowMs);
  }

  /** Returns the same as {@link #findQuarantined} without recording the request. */
  OptionalLong previewQuarantined(final List<PromptSegment> prompt) {
    return quarantine.previewQuarantined(prompt);
  }

  /** Adds the cold endpoints that the request must not be sent to. */
  private Set<EndpointId> withCold(
      final RoutedRequest routed, final Set<EndpointId> excluded, final long nowMs) {
    final Set<EndpointId> cold =
        coldBudget.unavailable(
            directory.endpoints(routed.service()), routed.head().prompt(), nowMs);
    return cold.isEmpty() ? excluded : Sets.union(excluded, cold);
  }

  /**
   * Decides whether a request is sent to an endpoint now, and counts it if it is cold.
   *
   * @param endpoint the endpoint as it was registered when it was selected
   * @param nowMs the current time, in Unix milliseconds
   * @return false if it is cold and this gateway's share of its budget is used up
   */
  boolean trySend(final EndpointRecord endpoint, final long nowMs) {
    return coldBudget.trySend(endpoint, nowMs);
  }

  /**
   * Records that a request that was sent is answered, or ends without an answer.
   *
   * @param endpoint the endpoint
   * @param nowMs the current time, in Unix milliseconds
   */
  void recordArrival(final EndpointId endpoint, final long nowMs) {
    coldBudget.recordAnswer(endpoint, nowMs);
  }

  /**
   * Finds a segment of a prompt that is kept away from engines.
   *
   * @param prompt the prompt's segments in order, empty for a call
   * @param nowMs the current time, in Unix milliseconds
   * @return the id of the segment, empty if there is none
   */
  OptionalLong findQuarantined(final List<PromptSegment> prompt, final long nowMs) {
    return quarantine.findQuarantined(prompt, nowMs);
  }

  /**
   * Records that an engine has answered a prompt completely.
   *
   * @param prompt the prompt's segments in order, empty for a call
   * @param nowMs the current time, in Unix milliseconds
   */
  void recordAnswer(final List<PromptSegment> prompt, final long nowMs) {
    quarantine.recordAnswer(prompt, nowMs);
  }

  /**
   * Withdraws one retry from the retry budget of the request's service.
   *
   * @param routed the request
   * @param nowMs the current time, in Unix milliseconds
   * @return true if the request may be sent again, false if the budget is exhausted
   */
  boolean tryRetry(final RoutedRequest routed, final long nowMs) {
    return retryBudget.tryWithdraw(routed.service(), nowMs);
  }

  /**
   * Withdraws one retry for a request that has not failed.
   *
   * @param routed the request
   * @param nowMs the current time, in Unix milliseconds
   * @return true if the request may be sent again, false if the budget for that is exhausted
   */
  boolean tryEarlyRetry(final RoutedRequest routed, final long nowMs) {
    return retryBudget.tryWithdrawEarly(routed.service(), nowMs);
  }

  /**
   * Returns what endpoints state about their load and how long their calls take.
   *
   * @return the observations
   */
  EndpointObservations observations() {
    return tracker.observations();
  }

  /**
   * Returns the rank of a request at an engine.
   *
   * @param routed the request
   * @param placement the engine's state before the attempt
   * @param nowMs the current time, in Unix milliseconds
   * @return the rank, 0 is the most urgent
   */
  int engineRank(final RoutedRequest routed, final PlacementSnapshot placement, final long nowMs) {
    return selector.engineRank(routed.priority(), routed.profile(), placement, nowMs);
  }

  /**
   * Returns when a second attempt at a call becomes likelier to meet the target than the first.
   *
   * @param service the service
   * @param targetMs the target for the time of the call, in milliseconds
   * @return the time since the first attempt was sent in milliseconds, {@link Long#MAX_VALUE} for
   *     never
   */
  long secondAttemptMs(final ServiceName service, final long targetMs) {
    return selector.usesStatedLoad()
        ? tracker.observations().secondAttemptMs(service, targetMs)
        : Long.MAX_VALUE;
  }

  /**
   * Returns an endpoint's registration.
   *
   * @param endpoint the endpoint's id
   * @return the registration, empty if the endpoint is no longer registered
   */
  Optional<EndpointRecord> find(final EndpointId endpoint) {
    return directory.find(endpoint);
  }

  /**
   * Returns whether an endpoint that was selected earlier may still get a request.
   *
   * @param endpoint the endpoint as it was registered when it was selected
   * @param nowMs the current time, in Unix milliseconds
   * @return false if it has left, drains or is in an evacuated zone by now
   */
  boolean accepts(final EndpointRecord endpoint, final long nowMs) {
    return tracker.accepts(endpoint, nowMs);
  }

  /**
   * Finds an engine from which another one can transfer the cached part of a prompt that it lacks.
   *
   * @param routed the request
   * @param endpoint the engine that the prompt is about to be sent to
   * @param nowMs the current time, in Unix milliseconds
   * @return the source engine, empty if no transfer is worth its cost
   */
  Optional<EndpointRecord> cacheSource(
      final RoutedRequest routed, final EndpointId endpoint, final long nowMs) {
    return tracker.cacheSource(endpoint, routed.head().prompt(), nowMs);
  }

  /**
   * Records an attempt: adds it to the endpoint's load and reports it to peers if that is urgent.
   *
   * @param routed the request
   * @param endpoint the endpoint that the request is sent to
   * @param source the engine that the endpoint transfers cached tokens from, empty if there is none
   * @param nowMs the current time, in Unix milliseconds
   * @return the endpoint's load and cache state before the attempt
   */
  PlacementSnapshot recordAttempt(
      final RoutedRequest routed,
      final EndpointId endpoint,
      final Optional<EndpointRecord> source,
      final long nowMs) {
    final PlacementSnapshot snapshot =
        tracker.recordAttempt(
            endpoint, routed.head().prompt(), source, routed.profile().heldTokens(), nowMs);
    directory.find(endpoint).ifPresent(record -> coldBudget.reserve(record, nowMs));
    mesh.reportIfUrgent();
    return snapshot;
  }

  /**
   * Records that an endpoint says in an answer that it leaves.
   *
   * @param endpoint the endpoint as it was registered when the request was sent
   */
  void recordLeaving(final EndpointRecord endpoint) {
    if (directory.markLeaving(endpoint)) {
      logger.atInfo().log(
          "endpoint %s, started at %d, announces that it leaves: it gets no more requests",
          endpoint.id(), endpoint.startedAtMs());
    }
  }

  /**
   * Records that an endpoint wants no requests for a while.
   *
   * @param endpoint the endpoint as it was registered when the request was sent
   * @param forMs the time, in milliseconds
   * @param nowMs the current time, in Unix milliseconds
   */
  void recordHoldOff(final EndpointRecord endpoint, final long forMs, final long nowMs) {
    if (tracker.recordHoldOff(endpoint, forMs, nowMs)) {
      logger.atInfo().log("endpoint %s wants no requests for %d ms", endpoint.id(), forMs);
    }
  }

  /**
   * Returns when the first endpoint of a service takes requests again.
   *
   * @param routed a request for the service
   * @param nowMs the current time, in Unix milliseconds
   * @return the time from now in milliseconds, zero if one takes requests or none is listed
   */
  long heldOffForMs(final RoutedRequest routed, final long nowMs) {
    return Math.max(
        tracker.heldOffForMs(routed.service(), nowMs),
        coldBudget.retryAfterMs(directory.endpoints(routed.service()), nowMs));
  }

  /**
   * Records that an endpoint has finished the prefill of a prompt and started to respond.
   *
   * @param endpoint the endpoint
   * @param placement the endpoint's state before the attempt
   * @param prompt the prompt's segments in order
   * @param pendingTokens the number of tokens that the endpoint had to prefill for the request
   * @param nowMs the current time, in Unix milliseconds
   */
  void recordPrefill(
      final EndpointId endpoint,
      final PlacementSnapshot placement,
      final List<PromptSegment> prompt,
      final long pendingTokens,
      final long nowMs) {
    tracker.recordPrefillEnd(endpoint, placement.startedAtMs(), prompt, pendingTokens, nowMs);
  }

  /**
   * Records the end of an attempt and removes it from the endpoint's load.
   *
   * @param endpoint the endpoint
   * @param placement the endpoint's state before the attempt
   * @param pendingTokens the number of tokens that the endpoint still had to prefill for the
   *     request
   * @param outcome the outcome of the attempt
   * @param nowMs the current time, in Unix milliseconds
   */
  void recordOutcome(
      final EndpointId endpoint,
      final PlacementSnapshot placement,
      final long pendingTokens,
      final AttemptOutcome outcome,
      final long nowMs) {
    tracker.recordOutcome(
        endpoint, placement.startedAtMs(), pendingTokens, placement.heldTokens(), outcome, nowMs);
  }
}
