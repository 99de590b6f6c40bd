package org.bulrushweir.balancing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.NodeId;
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

  /**
   * The share of an engine's KV cache that holds prompt segments of finished requests. The running
   * requests need the rest.
   */
  private static final double PREFIX_CACHE_SHARE = 0.8;

  /**
   * The KV cache capacity that is assumed while the plan does not state it, in tokens: that of a
   * small engine.
   */
  private static final long DEFAULT_KV_CAPACITY_TOKENS = 200_000;

  /**
   * The smallest number of tokens that is worth a KV cache transfer. An engine prefills fewer
   * tokens as fast as it receives them.
   */
  private static final int MIN_TRANSFER_TOKENS = 256;

  /**
   * The smallest number of tokens for which a request waits while its engine prefills them for
   * another request. Prefilling fewer tokens takes only a few milliseconds.
   */
  private static final int MIN_AWAITED_TOKENS = 512;

  /** The number of unreported prefill tokens from which a report to the peers is sent at once. */
  private static final int MIN_URGENT_TOKENS = 1_500;

  /**
   * The longest wait for segments that are being prefilled, in milliseconds: half of a strict
   * target for the time to first token.
   */
  private static final long MAX_AWAIT_MS = 250;

  /**
   * The factor by which a prefill takes longer than its tokens alone require, because the engine
   * also generates tokens for its running requests meanwhile.
   */
  private static final double PREFILL_SLOWDOWN = 1.25;

  private final Map<EndpointId, EndpointState> states = new HashMap<>();
  private final Map<NodeId, ReportOrder> latestReports = new HashMap<>();
  private final List<PeerReport.Placement> placements = new ArrayList<>();
  private final EndpointDirectory directory;
  private final KvCapacity kvCapacity;
  private final double prefillTokensPerMs;
  private final EndpointFilter filter;
  private long seenChangeCount = -1;
  private long unreportedPrefillTokens;

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
    this.kvCapacity = kvCapacity;
    this.prefillTokensPerMs = prefillTokensPerMs;
    this.filter = filter;
  }

  /** Supplies the KV cache capacity of the engines of a service. */
  @FunctionalInterface
  public interface KvCapacity {

    /**
     * Returns the KV cache capacity of each engine of a service.
     *
     * @param service the service
     * @return the capacity in tokens, zero if it is unknown
     */
    long tokens(ServiceName service);
  }

  /** Synchronizes the states with the directory if it has changed since the last call. */
  private void refresh() {
    if (seenChangeCount == directory.changeCount()) {
      return;
    }
    seenChangeCount = directory.changeCount();
    final Set<EndpointId> listed = new HashSet<>();
    for (final EndpointRecord entry : directory.all()) {
      listed.add(entry.id());
      final EndpointState existing = states.get(entry.id());
      if (existing == null || !existing.isOfRun(entry.startedAtMs())) {
        states.put(entry.id(), new EndpointState(entry, prefixCacheTokens(entry.service())));
      } else {
        existing.update(entry);
      }
    }
    states.values().removeIf(state -> !listed.contains(state.entry().id()) && isUnused(state));
  }

  private static boolean isUnused(final EndpointState state) {
    return state.ownInFlight() == 0;
  }

  private long prefixCacheTokens(final ServiceName service) {
    final long capacity = kvCapacity.tokens(service);
    return (long) (PREFIX_CACHE_SHARE * (capacity == 0 ? DEFAULT_KV_CAPACITY_TOKENS : capacity));
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
    refresh();
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
    int endpoints = 0;
    int places = 0;
    int inFlight = 0;
    for (final EndpointState state : candidates(service, nowMs)) {
      if (state.health().heldOffForMs(nowMs) == 0) {
        endpoints++;
        places += state.entry().slots();
        inFlight += state.inFlight(nowMs);
      }
    }
    return new ServiceRoom(endpoints, places, inFlight);
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
    final double tokens =
        candidates(service, nowMs).stream()
            .filter(state -> state.health().heldOffForMs(nowMs) == 0)
            .mapToLong(state -> state.pendingTokens(nowMs))
            .min()
            .orElse(0);
    return (long) (tokens / prefillTokensPerMs);
  }

  /**
   * Returns the longest prefix of a prompt that any engine of a service has in its cache. Draining
   * engines count, as they can still transfer their cache. Call {@link #candidates} first, which
   * synchronizes the states with the directory.
   *
   * @param service the service
   * @param prompt the segments of the prompt in order
   * @param nowMs the current time, in Unix milliseconds
   * @return the number of tokens that are already prefilled, zero if no engine has the first
   *     segment
   */
  int maxPrefilledTokens(
      final ServiceName service, final List<PromptSegment> prompt, final long nowMs) {
    int most = 0;
    for (final EndpointRecord entry : directory.endpoints(service)) {
      most = Math.max(most, states.get(entry.id()).prefixCache().prefilledTokens(prompt, nowMs));
    }
    return most;
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
    refresh();
    final EndpointState target = states.get(endpoint);
    if (target == null || prompt.isEmpty()) {
      return Optional.empty();
    }
    int most = target.prefixCache().cachedTokens(prompt) + MIN_TRANSFER_TOKENS - 1;
    EndpointRecord source = null;
    for (final EndpointRecord entry : directory.endpoints(target.entry().service())) {
      final EndpointState state = states.get(entry.id());
      final int cached = state.prefixCache().prefilledTokens(prompt, nowMs);
      if (state != target && cached > most && !state.isUnreachable(nowMs)) {
        most = cached;
        source = entry;
      }
    }
    return Optional.ofNullable(source);
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
    refresh();
    final EndpointState state = states.get(endpoint);
    if (state == null) {
      return new PlacementSnapshot(0, 0, 0, 0, 0, Optional.empty(), 0, 0);
    }
    final long total = PromptSegment.tokens(prompt);
    final int cached = state.prefixCache().cachedTokens(prompt);
    final int tokensAtSource =
        source
            .map(engine -> states.get(engine.id()).prefixCache().prefilledTokens(prompt, nowMs))
            .orElse(0);
    final PlacementSnapshot snapshot =
        new PlacementSnapshot(
            state.inFlight(nowMs),
            meanInFlight(candidates(state.entry().service(), nowMs), nowMs),
            total,
            cached,
            Math.max(0, tokensAtSource - cached),
            source.map(EndpointRecord::id),
            state.entry().startedAtMs(),
            awaitMs(state, prompt, nowMs));
    state.adjustLoad(1, snapshot.prefillTokens());
    if (!prompt.isEmpty()) {
      final long queuedTokens = state.pendingTokens(nowMs) + snapshot.transferredTokens();
      final long prefilledInMs = (long) (PREFILL_SLOWDOWN * queuedTokens / prefillTokensPerMs);
      state.prefixCache().recordPrefill(prompt, nowMs + prefilledInMs);
      placements.add(
          new PeerReport.Placement(endpoint, PromptSegment.shared(prompt), prefilledInMs));
      unreportedPrefillTokens += snapshot.prefillTokens() + snapshot.transferredTokens();
    }
    return snapshot;
  }

  /**
   * Returns how long a request waits for segments that its engine prefills for another request, in
   * milliseconds.
   */
  private long awaitMs(
      final EndpointState state, final List<PromptSegment> prompt, final long nowMs) {
    final PrefixCacheModel prefixCache = state.prefixCache();
    final int pendingPrefixTokens =
        prefixCache.cachedTokens(prompt) - prefixCache.prefilledTokens(prompt, nowMs);
    if (pendingPrefixTokens < MIN_AWAITED_TOKENS) {
      return 0;
    }
    return Math.min(MAX_AWAIT_MS, prefixCache.prefilledAtMs(prompt) - nowMs);
  }

  /**
   * Returns whether the engines have received so many prompt tokens to prefill since the last
   * report that the peers need a report at once. Otherwise the peers might send the same prompts to
   * other engines meanwhile.
   *
   * @return true if a report is urgent
   */
  public boolean isReportUrgent() {
    return unreportedPrefillTokens >= MIN_URGENT_TOKENS;
  }

  /**
   * Returns the mean number of in-flight requests of some endpoints.
   *
   * @param endpoints the endpoints
   * @param nowMs the current time, in Unix milliseconds
   * @return the mean, zero if there are no endpoints
   */
  static double meanInFlight(final List<EndpointState> endpoints, final long nowMs) {
    double sum = 0;
    for (final EndpointState state : endpoints) {
      sum += state.inFlight(nowMs);
    }
    return sum / Math.max(1, endpoints.size());
  }

  /** Returns the state of a run of an endpoint, null if that run has ended or is not registered. */
  private EndpointState stateOfRun(final EndpointId endpoint, final long startedAtMs) {
    refresh();
    final EndpointState state = states.get(endpoint);
    return state == null || !state.isOfRun(startedAtMs) ? null : state;
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
    final EndpointState state = stateOfRun(endpoint, startedAtMs);
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
    final EndpointState state = stateOfRun(endpoint, startedAtMs);
    if (state == null) {
      return;
    }
    state.adjustLoad(-1, -pendingTokens);
    if (outcome == AttemptOutcome.ANSWERED) {
      state.health().recordSuccess(nowMs);
    } else if (outcome == AttemptOutcome.FAILED) {
      state.health().recordFailure(nowMs);
    } else if (outcome == AttemptOutcome.UNREACHABLE) {
      state.health().recordUnreachable(nowMs);
    }
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
    final EndpointState state = stateOfRun(endpoint.id(), endpoint.startedAtMs());
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
    return states.values().stream().filter(state -> state.health().heldOffForMs(nowMs) > 0).count();
  }

  /**
   * Applies the report of a peer, unless it was overtaken by a newer one.
   *
   * @param report the report
   * @param nowMs the current time, in Unix milliseconds
   * @return false if a newer report of the same peer was applied before
   */
  public boolean applyPeerReport(final PeerReport report, final long nowMs) {
    final ReportOrder order = new ReportOrder(report.incarnation(), report.sequence());
    final ReportOrder before = latestReports.get(report.node());
    if (before != null && !order.isNewerThan(before)) {
      return false;
    }
    latestReports.put(report.node(), order);
    refresh();
    states.forEach(
        (id, state) -> state.updatePeerLoad(report.node(), report.loads().get(id), nowMs));
    for (final PeerReport.Placement placement : report.placements()) {
      final EndpointState state = states.get(placement.endpoint());
      if (state != null) {
        state
            .prefixCache()
            .recordPrefill(placement.sharedSegments(), nowMs + placement.prefilledInMs());
      }
    }
    return true;
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
    refresh();
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
    final Map<EndpointId, PeerLoad> loads = new HashMap<>();
    states.forEach(
        (id, state) -> {
          if (state.ownInFlight() > 0) {
            loads.put(id, new PeerLoad(state.ownInFlight(), state.ownPendingTokens()));
          }
        });
    return loads;
  }

  /**
   * Returns and clears the placements that were recorded since the last call.
   *
   * @return the placements in the order in which they were recorded, empty if there were none
   */
  public List<PeerReport.Placement> drainPlacements() {
    final List<PeerReport.Placement> drained = List.copyOf(placements);
    placements.clear();
    unreportedPrefillTokens = 0;
    return drained;
  }

  /**
   * Returns the number of requests that this gateway itself has at the endpoints of a zone.
   *
   * @param zone the availability zone
   * @return the number, including requests at endpoints that are no longer registered
   */
  public int ownInFlightInZone(final ZoneName zone) {
    return states.values().stream()
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

  /**
   * The position of a report among the reports of its peer. Incarnations are not ordered, because
   * the wall clock of a VM may jump: a report of any other incarnation counts as newer.
   *
   * @param incarnation identifies the run of the peer's process
   * @param sequence the number of the report in this incarnation
   */
  private record ReportOrder(long incarnation, long sequence) {
    boolean isNewerThan(final ReportOrder other) {
      return incarnation != other.incarnation || sequence > other.sequence;
    }
  }
}
