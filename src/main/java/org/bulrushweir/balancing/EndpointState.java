package org.bulrushweir.balancing;

import java.util.HashMap;
import java.util.Map;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.membership.EndpointTable;

/** Holds what a router knows of one endpoint. */
final class EndpointState {

  /**
   * For how long a peer's report counts, in milliseconds: several of the intervals in which peers
   * report, so that one lost datagram does not hide a load.
   */
  private static final long PEER_REPORT_VALID_MS = 1_500;

  private final Map<NodeId, TimedLoad> peerLoads = new HashMap<>();
  private final EndpointHealth health = new EndpointHealth();
  private final PrefixCacheModel prefixes;
  private final long key;
  private EndpointRecord entry;
  private int inFlight;
  private long pendingTokens;

  /**
   * Creates the state of an endpoint of which nothing is known.
   *
   * @param entry the endpoint
   * @param memoryTokens how many tokens it keeps, if it is an engine
   */
  EndpointState(final EndpointRecord entry, final long memoryTokens) {
    this.entry = entry;
    this.prefixes = new PrefixCacheModel(memoryTokens);
    this.key = EndpointTable.key(entry.id());
  }

  /**
   * Takes a newer registration; a restarted endpoint keeps nothing of before.
   *
   * @param newer the registration
   */
  void update(final EndpointRecord newer) {
    if (newer.startedAtMs() != entry.startedAtMs()) {
      prefixes.clear();
    }
    entry = newer;
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

  PrefixCacheModel prefixes() {
    return prefixes;
  }

  int ownInFlight() {
    return inFlight;
  }

  long ownPendingTokens() {
    return pendingTokens;
  }

  void add(final int requests, final long tokens) {
    inFlight += requests;
    pendingTokens += tokens;
  }

  /**
   * Takes what a peer has here.
   *
   * @param peer the peer
   * @param load its load, null if it has nothing
   * @param nowMs the current time
   */
  void peerLoad(final NodeId peer, final PeerLoad load, final long nowMs) {
    if (load == null) {
      peerLoads.remove(peer);
      return;
    }
    peerLoads.put(peer, new TimedLoad(load, nowMs));
  }

  /**
   * Counts the requests of all routers here.
   *
   * @param nowMs the current time
   * @return the requests, as far as is known
   */
  int inFlight(final long nowMs) {
    int sum = inFlight;
    for (final TimedLoad load : peerLoads.values()) {
      sum += load.isValid(nowMs) ? load.load().inFlight() : 0;
    }
    return sum;
  }

  /**
   * Counts the prompt tokens that are still to be read here.
   *
   * @param nowMs the current time
   * @return the tokens of all routers, as far as is known
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

  /**
   * A peer's load and when it was told.
   *
   * @param load the load
   * @param atMs when the report came
   */
  private record TimedLoad(PeerLoad load, long atMs) {
    boolean isValid(final long nowMs) {
      return nowMs - atMs <= PEER_REPORT_VALID_MS;
    }
  }
}
