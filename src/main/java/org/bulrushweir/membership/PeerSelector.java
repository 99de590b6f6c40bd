package org.bulrushweir.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.ZoneName;

/**
 * Selects the peers to which a process sends gossip. Most messages go to peers in its own
 * availability zone, and most messages of a sidecar to endpoints of its own service, whose loads
 * its admission decisions depend on.
 */
public final class PeerSelector {

  /** Interval, in messages, at which a message goes to another availability zone. */
  private static final int CROSS_ZONE_INTERVAL = 4;

  /** Interval, in messages, at which a message of a sidecar goes to a peer of any service. */
  private static final int ANY_SERVICE_INTERVAL = 3;

  /** The availability zone of this process. */
  private final ZoneName zone;

  /** The service of this process's endpoint; empty for a router. */
  private final String service;

  /** Source of the choice among equally preferred peers. */
  private final RandomGenerator random;

  /** Number of calls of {@link #select}. */
  private int selections;

  /**
   * Creates a selector.
   *
   * @param zone the availability zone of this process
   * @param service the service of this process's endpoint, empty for a router
   * @param random the source of the choice among equally preferred peers
   */
  public PeerSelector(final ZoneName zone, final String service, final RandomGenerator random) {
    this.zone = zone;
    this.service = service;
    this.random = random;
  }

  /**
   * Selects the receiver of the next message.
   *
   * @param peers the candidates, without this process
   * @return the selected peer, empty if there are no peers
   */
  public Optional<Peer> select(final List<Peer> peers) {
    selections++;
    final boolean ownZone = selections % CROSS_ZONE_INTERVAL != 0;
    final boolean ownService = !service.isEmpty() && selections % ANY_SERVICE_INTERVAL != 0;
    final List<Peer> preferred = new ArrayList<>();
    for (final Peer peer : peers) {
      final boolean fits = !ownService || peer.service().equals(service);
      if (fits && peer.zone().equals(zone) == ownZone) {
        preferred.add(peer);
      }
    }
    final List<Peer> candidates = preferred.isEmpty() ? peers : preferred;
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(candidates.get(random.nextInt(candidates.size())));
  }

  /**
   * Describes a process that exchanges gossip.
   *
   * @param node its node id
   * @param host its IP address
   * @param port its gossip port
   * @param zone its availability zone
   * @param service the service of its endpoint, empty for a router
   */
  public record Peer(NodeId node, String host, int port, ZoneName zone, String service) {}
}
