package org.bulrushweir.balancing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.catalog.EndpointRecord;

/**
 * Tracks the load, the prefix caches and the health of all endpoints at a gateway. It combines this
 * gateway's own attempts with the reports of its peers. Not thread-safe; the caller confines it to
 * one thread.
 */
public final class EndpointTracker {

  private final EndpointDirectory directory;
  private final EndpointStates states;
  private final PrefillRecorder prefills;
  private final LoadReports reports;
  private final EndpointObservations observations;
  private final EndpointFilter filter;

  /**
   * Creates a tracker without any load.
   *
   * @param directory the directory of the registered endpoints
   * @param kvCapacity the KV cache capacity of the engines of each service
   * @param prefillTokensPerMs the prefill speed of an engine, in tokens per millisecond
   */
  public EndpointTracker(
      final EndpointDirectory directory,
      final KvCapacity kvCapacity,
      final double prefillTokensPerMs) {
    this(directory, kvCapacity, prefillTokensPerMs, (endpoint, nowMs) -> true);
  }

  /**
   * Creates a tracker without any load.
   *
   * @param directory the directory of the registered endpoints
   * @param kvCapacity the KV cache capacity of the engines of each service
   * @param prefillTokensPerMs the prefill speed of an engine, in tokens per millisecond
   * @param filter decides which of the registered endpoints may get new requests
   */
  public EndpointTracker(
      final EndpointDirectory directory,
      final KvCapacity kvCapacity,
      final double prefillTokensPerMs,
      final EndpointFilter filter) {
    this.directory = directory;
    this.states = new EndpointStates(directory, kvCapacity);
    this.prefills = new PrefillRecorder(prefillTokensPerMs);
    this.reports = new LoadReports(states);
    this.observations = new EndpointObservations(states, prefills);
    this.filter = filter;
  }

  /**
   * Returns the states of the endpoints of a service that accept new requests.
   *
   * @param service the service
   * @param nowMs the current time, in Unix milliseconds
   * @return the states of the endpoints that neither drain nor are filtered out, empty if there are
   *     none
   */
  List<EndpointState> candidates(final ServiceName service, final long nowMs) {
    states.refresh();
    final List<EndpointState> candidates = new ArrayList<>();
    for (final EndpointRecord entry : directory.endpoints(service)) {
      if (!entry.draining() && filter.accepts(entry, nowMs)) {
        candidates.add(states.get(entry.id()));
      }
    }
    return candidates;
  }

  /**
   * Returns whether an endpoint may get a request now.
   *
   * @param endpoint the endpoint as it was registered when it was selected
   * @param nowMs the current time, in Unix milliseconds
   * @return false if this run of it has ended, drains or is filtered out
   */
  public boolean accepts(final EndpointRecord endpoint, final long nowMs) {
    return directory
        .find(endpoint.id())
        .filter(current -> current.isSameRun(endpoint) && !current.draining())
        .filter(current -> filter.accepts(current, nowMs))
        .isPresent();
  }

  /**
   * Returns how much room the endpoints of a service have.
   *
   * @param service the service
   * @param nowMs the current time, in Unix milliseconds
   * @return the room of the endpoints that accept new requests from this gateway
   */
  public ServiceRoom room(final ServiceName service, final long nowMs) {
    return ServiceRoom.of(candidates(service, nowMs), nowMs);
  }

  EndpointStates states() {
    return states;
  }

  /**
   * Returns the requests of this gateway that are part of {@link #room}.
   *
   * @param service the service
   * @param nowMs the current time, in Unix milliseconds
   * @return the number of requests in flight
   */
  public int ownInFlight(final ServiceName service, final long nowMs) {
    return candidates(service, nowMs).stream()
        .filter(state -> state.health().heldOffForMs(nowMs) == 0)
        .mapToInt(EndpointState::ownInFlight)
        .sum();
  }

  /**
   * Returns the shortest time in which an engine of a service finishes the prefill of the prompts
   * that it has.
   *
   * @param service the service
   * @param nowMs the current time, in Unix milliseconds
   * @return the time in milliseconds, zero if no engine takes requests
   */
  public long shortestPrefillMs(final ServiceName service, final long nowMs) {
    final long tokens =
        candidates(service, nowMs).stream()
            .filter(state -> state.health().heldOffForMs(nowMs) == 0)
            .mapToLong(state -> state.pendingTokens(nowMs))
            .min()
            .orElse(0);
    return prefills.prefillMs(tokens);
  }

  /**
   * Returns what endpoints state about their load and how long their calls take.
   *
   * @return the observations
   */
  public EndpointObservations observations() {
    return observations;
  }

  /**
   * Finds an engine that can transfer the part of a prompt that another engine has not cached.
   *
   * @param endpoint the engine that is going to receive the prompt
   * @param prompt the segments of the prompt in order, empty for a call
   * @param nowMs the current time, in Unix milliseconds
   * @return the engine with the longest cached prefix, empty if no transfer is worthwhile
   */
  public Optional<EndpointRecord> cacheSource(
      final EndpointId endpoint, final List<PromptSegment> prompt, final long nowMs) {
    states.refresh();
    final EndpointState target = states.get(endpoint);
    if (target == null || prompt.isEmpty()) {
      return Optional.empty();
    }
    return states.cacheSource(target, prompt, nowMs);
  }

  /**
   * Records that an attempt is about to be sent to an endpoint.
   *
   * @param endpoint the endpoint
   * @param prompt the segments of the request's prompt in order, empty for a call
   * @param source the engine that transfers the missing part of the prompt, empty if there is none
   * @param nowMs the current time, in Unix milliseconds
   * @return the endpoint's load and cache state before this attempt, all zero if the endpoint is
   *     not registered
   */
  public PlacementSnapshot recordAttempt(
      final EndpointId endpoint,
      final List<PromptSegment> prompt,
      final Optional<EndpointRecord> source,
      final long nowMs) {
    return recordAttempt(endpoint, prompt, source, 0, nowMs);
  }

  /**
   * Records that an attempt is about to be sent to an endpoint.
   *
   * @param endpoint the endpoint
   * @param prompt the segments of the request's prompt in order, empty for a call
   * @param source the engine that transfers the missing part of the prompt, empty if there is none
   * @param heldTokens the number of tokens that the request occupies in the KV cache at most
   * @param nowMs the current time, in Unix milliseconds
   * @return the endpoint's load and cache state before this attempt, all zero if the endpoint is
   *     not registered
   */
  public PlacementSnapshot recordAttempt(
      final EndpointId endpoint,
      final List<PromptSegment> prompt,
      final Optional<EndpointRecord> source,
      final long heldTokens,
      final long nowMs) {
    states.refresh();
    final EndpointState state = states.get(endpoint);
    if (state == null) {
      return new PlacementSnapshot(0, 0, 0, 0, 0, Optional.empty(), 0, 0, 0, 0);
    }
    final int cached = state.prefixCache().cachedTokens(prompt);
    final int tokensAtSource =
        source
            .map(engine -> states.get(engine.id()).prefixCache().prefilledTokens(prompt, nowMs))
            .orElse(0);
    final PlacementSnapshot snapshot =
        new PlacementSnapshot(
            state.inFlight(nowMs),
            EndpointStates.meanInFlight(candidates(state.entry().service(), nowMs), nowMs),
            PromptSegment.tokens(prompt),
            cached,
            Math.max(0, tokensAtSource - cached),
            source.map(EndpointRecord::id),
            state.entry().startedAtMs(),
            PrefillRecorder.awaitMs(state, prompt, nowMs),
            heldTokens,
            observations.expectedMs(state, prompt, cached, nowMs));
    state.adjustLoad(1, snapshot.prefillTokens());
    state.recordSend(nowMs);
    state.adjustHeldTokens(heldTokens);
    if (!prompt.isEmpty()) {
      prefills.record(state, prompt, snapshot, nowMs);
    }
    return snapshot;
  }

  /**
   * Returns whether the engines have received so many prompt tokens to prefill since the last
   * report that the peers need a report at once. Otherwise the peers might send the same prompts to
   * other engines meanwhile.
   *
   * @return true if a report is urgent
   */
  public boolean isReportUrgent() {
    return prefills.isReportUrgent();
  }

  /**
   * Records that an endpoint has finished the prefill of a prompt and started to respond. Without
   * effect if the endpoint has restarted since the attempt was recorded.
   *
   * @param endpoint the endpoint
   * @param startedAtMs the start of the endpoint's process when the attempt was recorded
   * @param prompt the segments of the prompt in order
   * @param pendingTokens the number of tokens that were still counted as pending for the request
   * @param nowMs the current time, in Unix milliseconds
   */
  public void recordPrefillEnd(
      final EndpointId endpoint,
      final long startedAtMs,
      final List<PromptSegment> prompt,
      final long pendingTokens,
      final long nowMs) {
    final EndpointState state = states.ofRun(endpoint, startedAtMs);
    if (state != null) {
      state.adjustLoad(0, -pendingTokens);
      state.prefixCache().recordPrefill(prompt, nowMs);
    }
  }

  /**
   * Records the end of an attempt. Without effect if the endpoint has restarted since: neither load
   * nor failures of the run that has ended count for the new one.
   *
   * @param endpoint the endpoint
   * @param startedAtMs the start of the endpoint's process when the attempt was recorded
   * @param pendingTokens the number of tokens that are still counted as pending for the request
   * @param outcome the outcome of the attempt
   * @param nowMs the current time, in Unix milliseconds
   */
  public void recordOutcome(
      final EndpointId endpoint,
      final long startedAtMs,
      final long pendingTokens,
      final AttemptOutcome outcome,
      final long nowMs) {
    recordOutcome(endpoint, startedAtMs, pendingTokens, 0, outcome, nowMs);
  }

  /**
   * Records the end of an attempt. Without effect if the endpoint has restarted since: neither load
   * nor failures of the run that has ended count for the new one.
   *
   * @param endpoint the endpoint
   * @param startedAtMs the start of the endpoint's process when the attempt was recorded
   * @param pendingTokens the number of tokens that are still counted as pending for the request
   * @param heldTokens the number of tokens that were recorded as held by the request
   * @param outcome the outcome of the attempt
   * @param nowMs the current time, in Unix milliseconds
   */
  public void recordOutcome(
      final EndpointId endpoint,
      final long startedAtMs,
      final long pendingTokens,
      final long heldTokens,
      final AttemptOutcome outcome,
      final long nowMs) {
    final EndpointState state = states.ofRun(endpoint, startedAtMs);
    if (state == null) {
      return;
    }
    state.adjustLoad(-1, -pendingTokens);
    state.adjustHeldTokens(-heldTokens);
    state.health().record(outcome, nowMs);
  }

  /**
   * Records that an endpoint wants no requests from this gateway for a while. Without effect if the
   * endpoint has restarted since the request was sent.
   *
   * @param endpoint the endpoint as it was registered when the request was sent
   * @param forMs the time, in milliseconds
   * @param nowMs the current time, in Unix milliseconds
   * @return true if it took requests before
   */
  public boolean recordHoldOff(final EndpointRecord endpoint, final long forMs, final long nowMs) {
    final EndpointState state = states.ofRun(endpoint.id(), endpoint.startedAtMs());
    if (state == null) {
      return false;
    }
    final boolean tookRequests = state.health().heldOffForMs(nowMs) == 0;
    state.health().recordHoldOff(nowMs + forMs);
    return tookRequests;
  }

  /**
   * Returns when the first endpoint of a service takes requests again.
   *
   * @param service the service
   * @param nowMs the current time, in Unix milliseconds
   * @return the time from now in milliseconds, zero if one takes requests or none is listed
   */
  public long heldOffForMs(final ServiceName service, final long nowMs) {
    return candidates(service, nowMs).stream()
        .mapToLong(state -> state.health().heldOffForMs(nowMs))
        .min()
        .orElse(0);
  }

  /**
   * Returns the number of endpoints that want no requests at the moment.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the number
   */
  public long heldOffCount(final long nowMs) {
    return states.all().stream().filter(state -> state.health().heldOffForMs(nowMs) > 0).count();
  }

  /**
   * Applies the report of a peer, unless it was overtaken by a newer one.
   *
   * @param report the report
   * @param nowMs the current time, in Unix milliseconds
   * @return false if a newer report of the same peer was applied before
   */
  public boolean applyPeerReport(final PeerReport report, final long nowMs) {
    return reports.apply(report, nowMs);
  }

  /**
   * Records the segments that an engine itself reports as cached.
   *
   * @param endpoint the engine
   * @param segments the cached segments
   * @param nowMs the current time, in Unix milliseconds
   */
  public void recordCached(
      final EndpointId endpoint, final List<PromptSegment> segments, final long nowMs) {
    states.refresh();
    final EndpointState state = states.get(endpoint);
    if (state != null) {
      state.prefixCache().recordListed(segments, nowMs);
    }
  }

  /**
   * Returns the load that this gateway itself puts on the endpoints.
   *
   * @return the loads by endpoint; endpoints without an attempt of this gateway are left out
   */
  public Map<EndpointId, PeerLoad> ownLoads() {
    return reports.own();
  }

  /**
   * Returns and clears the placements that were recorded since the last call.
   *
   * @return the placements in the order in which they were recorded, empty if there were none
   */
  public List<PeerReport.Placement> drainPlacements() {
    return prefills.drain();
  }

  /**
   * Returns the number of requests that this gateway itself has at the endpoints of a zone.
   *
   * @param zone the availability zone
   * @return the number, including requests at endpoints that are no longer registered
   */
  public int ownInFlightInZone(final ZoneName zone) {
    return states.all().stream()
        .filter(state -> state.entry().zone().equals(zone))
        .mapToInt(EndpointState::ownInFlight)
        .sum();
  }

  /**
   * Returns the load of an endpoint.
   *
   * @param endpoint the endpoint
   * @param nowMs the current time, in Unix milliseconds
   * @return the number of in-flight requests of all gateways, negative if the endpoint is unknown
   */
  public int inFlight(final EndpointId endpoint, final long nowMs) {
    final EndpointState state = states.get(endpoint);
    return state == null ? -1 : state.inFlight(nowMs);
  }

  /**
   * Returns the prompt tokens that an endpoint still has to prefill.
   *
   * @param endpoint the endpoint
   * @param nowMs the current time, in Unix milliseconds
   * @return the tokens of all gateways' requests, zero if the endpoint is unknown
   */
  long pendingTokens(final EndpointId endpoint, final long nowMs) {
    final EndpointState state = states.get(endpoint);
    return state == null ? 0 : state.pendingTokens(nowMs);
  }
}
