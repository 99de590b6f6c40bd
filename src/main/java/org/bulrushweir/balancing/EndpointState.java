package org.bulrushweir.balancing;

import java.util.HashMap;
import java.util.Map;
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
  private final PrefixCacheModel prefixCache;
  private final long key;
  private EndpointRecord entry;
  private int inFlight;
  private long pendingTokens;

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

  PrefixCacheModel prefixCache() {
    return prefixCache;
  }

  int ownInFlight() {
    return inFlight;
  }

  long ownPendingTokens() {
    return pendingTokens;
  }

  void adjustLoad(final int requests, final long tokens) {
    inFlight += requests;
    pendingTokens += tokens;
  }

  /**
   * Replaces the load that a peer reports for this endpoint.
   *
   * @param peer the peer
   * @param load the peer's load, null if it has no in-flight request here
   * @param nowMs the current time, in Unix milliseconds
   */
  void updatePeerLoad(final NodeId peer, final PeerLoad load, final long nowMs) {
    if (load == null) {
      peerLoads.remove(peer);
      return;
    }
    peerLoads.put(peer, new TimedLoad(load, nowMs));
  }

  /**
   * Returns the number of in-flight requests of all gateways.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the own requests and those in the valid reports of peers
   */
  int inFlight(final long nowMs) {
    int sum = inFlight;
    for (final TimedLoad load : peerLoads.values()) {
      sum += load.isValid(nowMs) ? load.load().inFlight() : 0;
    }
    return sum;
  }

  /**
   * Returns the number of prompt tokens of all gateways that are still to be prefilled.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the own tokens and those in the valid reports of peers
   */
  long pendingTokens(final long nowMs) {
    long sum = pendingTokens;
    for (final TimedLoad load : peerLoads.values()) {
      sum += load.isValid(nowMs) ? load.load().pendingTokens() : 0;
    }
    return sum;
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
