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
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.catalog.EndpointRecord;

/**
 * Keeps the loads, caches and health of all endpoints, from this router's own requests and from the
 * reports of its peers. Not safe for use by many threads.
 */
public final class EndpointTracker {

  /**
   * Which share of an engine's memory holds parts of prompts that are not in use: the running
   * requests need the rest.
   */
  private static final double CACHE_SHARE = 0.8;

  /** An engine's memory while the plan does not tell it, in tokens: that of a small engine. */
  private static final long DEFAULT_MEMORY_TOKENS = 200_000;

  /** From how many tokens on a part is handed over; fewer are read as fast. */
  private static final int MIN_FETCHED_TOKENS = 256;

  /**
   * From how many tokens on a request waits until its engine has read them for another request;
   * fewer are read in a few milliseconds.
   */
  private static final int MIN_AWAITED_TOKENS = 512;

  /** From how many tokens on that engines have to read peers are told at once. */
  private static final int MIN_URGENT_TOKENS = 1_500;

  /** The longest wait for parts that are being read, in milliseconds: half of a strict target. */
  private static final long MAX_AWAIT_MS = 250;

  /** How much longer reading takes than the tokens alone say: running answers go on meanwhile. */
  private static final double READING_SLACK = 1.25;

  private final Map<EndpointId, EndpointState> states = new HashMap<>();
  private final Map<NodeId, ReportOrder> newest = new HashMap<>();
  private final List<PeerReport.Placement> placements = new ArrayList<>();
  private final EndpointDirectory directory;
  private final KvCapacity kvCapacity;
  private final double prefillTokensPerMs;
  private long seenChanges = -1;
  private long coldTokens;

  /**
   * Creates a board.
   *
   * @param directory lists the endpoints
   * @param kvCapacity tells how many tokens the engines of a service keep
   * @param prefillTokensPerMs how many prompt tokens an engine reads in a millisecond
   */
  public EndpointTracker(
      final EndpointDirectory directory,
      final KvCapacity kvCapacity,
      final double prefillTokensPerMs) {
    this.directory = directory;
    this.kvCapacity = kvCapacity;
    this.prefillTokensPerMs = prefillTokensPerMs;
  }

  /** Tells how many tokens the engines of a service keep. */
  @FunctionalInterface
  public interface KvCapacity {

    /**
     * Returns the size.
     *
     * @param service the service
     * @return the size in tokens, zero if it is unknown
     */
    long tokens(ServiceName service);
  }

  /** Takes over what has changed in the directory. */
  private void refresh() {
    if (seenChanges == directory.changeCount()) {
      return;
    }
    seenChanges = directory.changeCount();
    final Set<EndpointId> listed = new HashSet<>();
    for (final EndpointRecord entry : directory.all()) {
      listed.add(entry.id());
      final EndpointState known = states.get(entry.id());
      if (known == null) {
        states.put(entry.id(), new EndpointState(entry, cacheTokens(entry.service())));
      } else {
        known.update(entry);
      }
    }
    states.values().removeIf(state -> !listed.contains(state.entry().id()) && isUnused(state));
  }

  private static boolean isUnused(final EndpointState state) {
    return state.ownInFlight() == 0;
  }

  private long cacheTokens(final ServiceName service) {
    final long memory = kvCapacity.tokens(service);
    return (long) (CACHE_SHARE * (memory == 0 ? DEFAULT_MEMORY_TOKENS : memory));
  }

  /**
   * Lists the states of the endpoints of a service that take new work.
   *
   * @param service the service
   * @return the states
   */
  List<EndpointState> candidates(final ServiceName service) {
    refresh();
    final List<EndpointState> candidates = new ArrayList<>();
    for (final EndpointRecord entry : directory.endpoints(service)) {
      if (!entry.draining()) {
        candidates.add(states.get(entry.id()));
      }
    }
    return candidates;
  }

  /**
   * Returns how much of a prompt the engine that has most of it holds, those that are about to
   * leave included.
   *
   * @param service the service
   * @param prompt the prompt's parts in order
   * @param nowMs the current time
   * @return the number of tokens that have been read by now
   */
  int mostCached(final ServiceName service, final List<PromptSegment> prompt, final long nowMs) {
    int most = 0;
    for (final EndpointRecord entry : directory.endpoints(service)) {
      most = Math.max(most, states.get(entry.id()).prefixes().readTokens(prompt, nowMs));
    }
    return most;
  }

  /**
   * Finds an engine that can hand over what another one lacks of a prompt.
   *
   * @param endpoint the engine that is about to get the prompt
   * @param prompt the prompt's parts in order
   * @param nowMs the current time
   * @return the engine that holds most, empty if the rest is not worth it
   */
  public Optional<EndpointRecord> cacheSource(
      final EndpointId endpoint, final List<PromptSegment> prompt, final long nowMs) {
    refresh();
    final EndpointState target = states.get(endpoint);
    if (target == null || prompt.isEmpty()) {
      return Optional.empty();
    }
    int most = target.prefixes().cachedTokens(prompt) + MIN_FETCHED_TOKENS - 1;
    EndpointRecord source = null;
    for (final EndpointRecord entry : directory.endpoints(target.entry().service())) {
      final EndpointState state = states.get(entry.id());
      final int cached = state.prefixes().readTokens(prompt, nowMs);
      if (state != target && cached > most && !state.isSuspect(nowMs)) {
        most = cached;
        source = entry;
      }
    }
    return Optional.ofNullable(source);
  }

  /**
   * Notes that a request is sent.
   *
   * @param endpoint where it goes
   * @param prompt its prompt, empty if it has none
   * @param source an engine that hands over what the endpoint lacks, empty if there is none
   * @param nowMs the current time
   * @return what was known of the endpoint
   */
  public PlacementSnapshot recordAttempt(
      final EndpointId endpoint,
      final List<PromptSegment> prompt,
      final Optional<EndpointRecord> source,
      final long nowMs) {
    refresh();
    final EndpointState state = states.get(endpoint);
    if (state == null) {
      return new PlacementSnapshot(0, 0, 0, 0, 0, Optional.empty(), 0);
    }
    final long total = PromptSegment.tokens(prompt);
    final int cached = state.prefixes().cachedTokens(prompt);
    final int atSource =
        source
            .map(engine -> states.get(engine.id()).prefixes().readTokens(prompt, nowMs))
            .orElse(0);
    final PlacementSnapshot snapshot =
        new PlacementSnapshot(
            state.inFlight(nowMs),
            meanInFlight(candidates(state.entry().service()), nowMs),
            total,
            cached,
            Math.max(0, atSource - cached),
            source.map(EndpointRecord::id),
            awaitMs(state, prompt, nowMs));
    state.add(1, snapshot.prefillTokens());
    if (!prompt.isEmpty()) {
      final long toRead = state.pendingTokens(nowMs) + snapshot.transferredTokens();
      final long readInMs = (long) (READING_SLACK * toRead / prefillTokensPerMs);
      state.prefixes().read(prompt, nowMs + readInMs);
      final List<PromptSegment> shared = List.copyOf(prompt.subList(0, prompt.size() - 1));
      placements.add(new PeerReport.Placement(endpoint, shared, readInMs));
      coldTokens += snapshot.prefillTokens() + snapshot.transferredTokens();
    }
    return snapshot;
  }

  /** Tells how long a request should wait for parts that its engine reads for another one. */
  private long awaitMs(
      final EndpointState state, final List<PromptSegment> prompt, final long nowMs) {
    final PrefixCacheModel prefixes = state.prefixes();
    final int beingRead = prefixes.cachedTokens(prompt) - prefixes.readTokens(prompt, nowMs);
    if (beingRead < MIN_AWAITED_TOKENS) {
      return 0;
    }
    return Math.min(MAX_AWAIT_MS, prefixes.readAtMs(prompt) - nowMs);
  }

  /**
   * Tells whether engines have been sent so much to read since the last report that peers should
   * hear of it at once, lest they send the same prompts meanwhile.
   *
   * @return true if a report is urgent
   */
  public boolean isReportUrgent() {
    return coldTokens >= MIN_URGENT_TOKENS;
  }

  /**
   * Returns how many requests endpoints have on average.
   *
   * @param endpoints the endpoints
   * @param nowMs the current time
   * @return the mean, zero if there are none
   */
  static double meanInFlight(final List<EndpointState> endpoints, final long nowMs) {
    double sum = 0;
    for (final EndpointState state : endpoints) {
      sum += state.inFlight(nowMs);
    }
    return sum / Math.max(1, endpoints.size());
  }

  /**
   * Notes that an endpoint has read a prompt and begun to answer.
   *
   * @param endpoint the endpoint
   * @param prompt the prompt
   * @param pendingTokens how many tokens it had to read for the request
   * @param nowMs the current time
   */
  public void recordPrefill(
      final EndpointId endpoint,
      final List<PromptSegment> prompt,
      final long pendingTokens,
      final long nowMs) {
    final EndpointState state = states.get(endpoint);
    if (state != null) {
      state.add(0, -pendingTokens);
      state.prefixes().read(prompt, nowMs);
    }
  }

  /**
   * Notes that a request has left an endpoint.
   *
   * @param endpoint the endpoint
   * @param pendingTokens how many tokens it still had to read for the request
   * @param outcome what became of it
   * @param nowMs the current time
   */
  public void recordOutcome(
      final EndpointId endpoint,
      final long pendingTokens,
      final AttemptOutcome outcome,
      final long nowMs) {
    final EndpointState state = states.get(endpoint);
    if (state == null) {
      return;
    }
    state.add(-1, -pendingTokens);
    if (outcome == AttemptOutcome.ANSWERED) {
      state.health().succeeded();
    } else if (outcome == AttemptOutcome.FAILED) {
      state.health().failed(nowMs);
    } else if (outcome == AttemptOutcome.UNREACHABLE) {
      state.health().unreachable(nowMs);
    }
  }

  /**
   * Takes a peer's report.
   *
   * @param report the report
   * @param nowMs the current time
   * @return false if a newer one of the same peer has come before
   */
  public boolean applyPeerReport(final PeerReport report, final long nowMs) {
    final ReportOrder order = new ReportOrder(report.incarnation(), report.sequence());
    final ReportOrder before = newest.get(report.node());
    if (before != null && !order.newerThan(before)) {
      return false;
    }
    newest.put(report.node(), order);
    refresh();
    states.forEach((id, state) -> state.peerLoad(report.node(), report.loads().get(id), nowMs));
    for (final PeerReport.Placement placement : report.placements()) {
      final EndpointState state = states.get(placement.endpoint());
      if (state != null) {
        state.prefixes().read(placement.sharedSegments(), nowMs + placement.readInMs());
      }
    }
    return true;
  }

  /**
   * Notes what an engine says that it holds.
   *
   * @param endpoint the engine
   * @param parts the parts
   * @param nowMs the current time
   */
  public void recordCached(
      final EndpointId endpoint, final List<PromptSegment> parts, final long nowMs) {
    refresh();
    final EndpointState state = states.get(endpoint);
    if (state != null) {
      state.prefixes().read(parts, nowMs);
    }
  }

  /**
   * Returns what this router has at each endpoint.
   *
   * @return the loads of the endpoints where it has anything
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
   * Returns the placements since the last call, and forgets them.
   *
   * @return where prompts were sent
   */
  public List<PeerReport.Placement> drainPlacements() {
    final List<PeerReport.Placement> taken = List.copyOf(placements);
    placements.clear();
    coldTokens = 0;
    return taken;
  }

  /**
   * Returns an endpoint's load.
   *
   * @param endpoint the endpoint
   * @param nowMs the current time
   * @return requests in flight of all routers, negative if the endpoint is not known
   */
  public int inFlight(final EndpointId endpoint, final long nowMs) {
    final EndpointState state = states.get(endpoint);
    return state == null ? -1 : state.inFlight(nowMs);
  }

  /**
   * Orders the reports of a peer. Incarnations can't be ordered, as the time of day may jump: any
   * other one counts as newer.
   *
   * @param incarnation tells the lives of its process apart
   * @param sequence the report's number
   */
  private record ReportOrder(long incarnation, long sequence) {
    boolean newerThan(final ReportOrder other) {
      return incarnation != other.incarnation || sequence > other.sequence;
    }
  }
}
