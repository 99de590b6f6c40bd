package org.bulrushweir.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.OrganisationId;

/** The last reports of the other gateways on their requests for one service. */
final class PeerDemands {

  /** The period for which a peer counts as a sender, in milliseconds: several lost reports. */
  private static final long SENDER_VALID_MS = 1_500;

  /** The period for which waiting requests are believed, in milliseconds: two lost reports. */
  private static final long WAITING_VALID_MS = 600;

  /** The period for which sums over all peers are used again, in milliseconds. */
  private static final long SUMS_VALID_MS = 50;

  private final Map<NodeId, Timed> peers = new HashMap<>();
  private final Map<OrganisationId, Double> sums = new HashMap<>();
  private long sumsAtMs;

  /** Returns an independent copy. */
  PeerDemands copy() {
    final PeerDemands copy = new PeerDemands();
    copy.peers.putAll(peers);
    copy.sums.putAll(sums);
    copy.sumsAtMs = sumsAtMs;
    return copy;
  }

  /**
   * Replaces what a peer has reported.
   *
   * @param peer the peer
   * @param demand its demand
   * @param nowMs the current time, in Unix milliseconds
   */
  void update(final NodeId peer, final PeerDemand demand, final long nowMs) {
    peers.put(peer, new Timed(demand, nowMs));
    peers.values().removeIf(timed -> nowMs - timed.receivedMs > SENDER_VALID_MS);
  }

  private List<PeerDemand> valid(final long forMs, final long nowMs) {
    final List<PeerDemand> demands = new ArrayList<>();
    for (final Timed timed : peers.values()) {
      if (nowMs - timed.receivedMs <= forMs) {
        demands.add(timed.demand);
      }
    }
    return demands;
  }

  /**
   * Returns the number of peers that send requests to the service.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the number
   */
  int senders(final long nowMs) {
    return valid(SENDER_VALID_MS, nowMs).size();
  }

  /**
   * Returns the number of requests that wait at the peers.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the number
   */
  int waiting(final long nowMs) {
    return valid(WAITING_VALID_MS, nowMs).stream()
        .flatMap(demand -> demand.waiting().stream())
        .mapToInt(Integer::intValue)
        .sum();
  }

  /**
   * Returns whether a request of a more urgent rank waits at a peer.
   *
   * @param rank the rank
   * @param nowMs the current time, in Unix milliseconds
   * @return true if one was reported a short time ago
   */
  boolean isMoreUrgentWaiting(final int rank, final long nowMs) {
    return valid(WAITING_VALID_MS, nowMs).stream()
        .anyMatch(demand -> demand.isMoreUrgentWaiting(rank));
  }

  /**
   * Returns the work that the peers have had done for an organisation.
   *
   * @param organisation the organisation
   * @param nowMs the current time, in Unix milliseconds
   * @return the work
   */
  double work(final Optional<OrganisationId> organisation, final long nowMs) {
    if (organisation.isEmpty()) {
      return 0;
    }
    if (nowMs - sumsAtMs > SUMS_VALID_MS) {
      sums.clear();
      sumsAtMs = nowMs;
    }
    return sums.computeIfAbsent(organisation.get(), key -> sum(key, nowMs));
  }

  private double sum(final OrganisationId organisation, final long nowMs) {
    return valid(SENDER_VALID_MS, nowMs).stream()
        .mapToDouble(demand -> demand.workOf(organisation))
        .sum();
  }

  /**
   * A report and the time of its arrival.
   *
   * @param demand the report
   * @param receivedMs the time, in Unix milliseconds
   */
  private record Timed(PeerDemand demand, long receivedMs) {}
}
