package org.bulrushweir.balancing;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.membership.EndpointTable;

/** The state of one endpoint as this gateway knows it. */
final class EndpointState {

  /**
   * The period for which a peer's report is valid, in milliseconds. It spans several report
   * intervals, so that one lost datagram does not hide a load.
   */
  private static final long PEER_REPORT_VALID_MS = 1_500;

  private final Map<NodeId, TimedLoad> peerLoads = new HashMap<>();
  private final EndpointHealth health = new EndpointHealth();
  private final EndpointPace pace = new EndpointPace();
  private final PrefixCacheModel prefixCache;
  private final long key;
  private EndpointRecord entry;
  private int inFlight;
  private long pendingTokens;
  private long heldTokens;
  private long newestPeerLoadMs;
  private long lastSentMs;
  private long recentAtMs = Long.MIN_VALUE;
  private double recentMemoryMs;
  private double recentPeerInFlight;
  private long peerSumsAtMs = Long.MIN_VALUE;
  private int peerInFlight;
  private long peerPendingTokens;
  private long peerHeldTokens;

  /**
   * Creates the state of an endpoint without load and with an empty cache.
   *
   * @param entry the endpoint's registration
   * @param cacheTokens the capacity of its prefix cache, in tokens
   */
  EndpointState(final EndpointRecord entry, final long cacheTokens) {
    this.entry = entry;
    this.prefixCache = new PrefixCacheModel(cacheTokens);
    this.key = EndpointTable.key(entry.id());
  }

  /**
   * Replaces the registration by one of the same run of the endpoint.
   *
   * @param newer the new registration
   */
  void update(final EndpointRecord newer) {
    entry = newer;
  }

  boolean isOfRun(final long startedAtMs) {
    return entry.startedAtMs() == startedAtMs;
  }

  EndpointRecord entry() {
    return entry;
  }

  long key() {
    return key;
  }

  EndpointHealth health() {
    return health;
  }

  EndpointPace pace() {
    return pace;
  }

  PrefixCacheModel prefixCache() {
    return prefixCache;
  }

  int ownInFlight() {
    return inFlight;
  }

  long ownPendingTokens() {
    return pendingTokens;
  }

  long ownHeldTokens() {
    return heldTokens;
  }

  void adjustLoad(final int requests, final long tokens) {
    inFlight += requests;
    pendingTokens += tokens;
  }

  void recordSend(final long nowMs) {
    lastSentMs = nowMs;
  }

  /** Returns the age of this gateway's last request to it, empty without one. */
  OptionalLong ownSendAgeMs(final long nowMs) {
    return lastSentMs == 0 ? OptionalLong.empty() : OptionalLong.of(nowMs - lastSentMs);
  }

  /** Returns the age of the newest report of a peer with a request here, empty without one. */
  OptionalLong peerReportAgeMs(final long nowMs) {
    return newestPeerLoadMs == 0 ? OptionalLong.empty() : OptionalLong.of(nowMs - newestPeerLoadMs);
  }

  void adjustHeldTokens(final long tokens) {
    heldTokens += tokens;
  }

  /**
   * Replaces the load that a peer reports for this endpoint.
   *
   * @param peer the peer
   * @param load the peer's load, null if it has no in-flight request here
   * @param nowMs the current time, in Unix milliseconds
   */
  void updatePeerLoad(final NodeId peer, final PeerLoad load, final long nowMs) {
    peerSumsAtMs = Long.MIN_VALUE;
    recentAtMs = Long.MIN_VALUE;
    if (load == null) {
      peerLoads.remove(peer);
      return;
    }
    newestPeerLoadMs = nowMs;
    peerLoads.put(peer, new TimedLoad(load, nowMs));
  }

  /**
   * Returns the number of in-flight requests of all gateways.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the own requests and those in the valid reports of peers
   */
  int inFlight(final long nowMs) {
    updatePeerSums(nowMs);
    return inFlight + peerInFlight;
  }

  /**
   * Returns the number of prompt tokens of all gateways that are still to be prefilled.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the own tokens and those in the valid reports of peers
   */
  long pendingTokens(final long nowMs) {
    updatePeerSums(nowMs);
    return pendingTokens + peerPendingTokens;
  }

  /**
   * Returns the number of tokens that the requests of all gateways occupy in the KV cache at most.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the own tokens and those in the valid reports of peers
   */
  long heldTokens(final long nowMs) {
    updatePeerSums(nowMs);
    return heldTokens + peerHeldTokens;
  }

  /**
   * Returns the number of in-flight calls, where a call in a peer's report counts the less the
   * older the report is: it has probably ended since.
   *
   * @param memoryMs the age at which a report counts no more, in milliseconds
   * @param nowMs the current time, in Unix milliseconds
   * @return the own calls and the expected remainder of those of peers
   */
  double recentInFlight(final double memoryMs, final long nowMs) {
    if (nowMs - newestPeerLoadMs >= memoryMs) {
      return inFlight;
    }
    if (recentAtMs != nowMs || recentMemoryMs != memoryMs) {
      recentAtMs = nowMs;
      recentMemoryMs = memoryMs;
      recentPeerInFlight = 0;
      for (final TimedLoad load : peerLoads.values()) {
        final double left = 1 - (nowMs - load.receivedAtMs()) / memoryMs;
        recentPeerInFlight += load.isValid(nowMs) ? Math.max(0, left) * load.load().inFlight() : 0;
      }
    }
    return inFlight + recentPeerInFlight;
  }

  /** Adds up the loads of the peers once per millisecond: a selection asks for them repeatedly. */
  private void updatePeerSums(final long nowMs) {
    if (peerSumsAtMs == nowMs) {
      return;
    }
    peerSumsAtMs = nowMs;
    peerInFlight = 0;
    peerPendingTokens = 0;
    peerHeldTokens = 0;
    for (final TimedLoad load : peerLoads.values()) {
      if (load.isValid(nowMs)) {
        peerInFlight += load.load().inFlight();
        peerPendingTokens += load.load().pendingTokens();
        peerHeldTokens += load.load().heldTokens();
      }
    }
  }

  boolean isSuspect(final long nowMs) {
    return health.isSuspect(inFlight, nowMs);
  }

  boolean isUnreachable(final long nowMs) {
    return health.isUnreachable(inFlight, nowMs);
  }

  /**
   * The load of a peer and the time of its report.
   *
   * @param load the load
   * @param receivedAtMs the time at which the report was received, in Unix milliseconds
   */
  private record TimedLoad(PeerLoad load, long receivedAtMs) {
    boolean isValid(final long nowMs) {
      return nowMs - receivedAtMs <= PEER_REPORT_VALID_MS;
    }
  }
}
