package org.bulrushweir.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.ZoneName;

/**
 * Picks the peers that a process talks to: mostly those whose news it needs the most, which for a
 * sidecar are the other endpoints of its service, and otherwise those of its own availability zone.
 */
public final class PeerSelector {

  /** In a run of this many messages, one goes to another availability zone. */
  private static final int CROSS_ZONE_EVERY = 4;

  /** In a run of this many messages of a sidecar, one goes to any process. */
  private static final int ANY_SERVICE_EVERY = 3;

  /** The process's own zone. */
  private final ZoneName zone;

  /** The service of the process's endpoint, empty for a router. */
  private final String service;

  /** Picks among equals. */
  private final RandomGenerator random;

  /** How many peers were picked. */
  private int picks;

  /**
   * Creates a picker.
   *
   * @param zone the process's own zone
   * @param service the service of the process's endpoint, empty for a router
   * @param random picks among equals
   */
  public PeerSelector(final ZoneName zone, final String service, final RandomGenerator random) {
    this.zone = zone;
    this.service = service;
    this.random = random;
  }

  /**
   * Picks a peer.
   *
   * @param peers the peers, without the process itself
   * @return a peer, empty if there is none
   */
  public Optional<Peer> select(final List<Peer> peers) {
    picks++;
    final boolean ownZone = picks % CROSS_ZONE_EVERY != 0;
    final boolean ownService = !service.isEmpty() && picks % ANY_SERVICE_EVERY != 0;
    final List<Peer> preferred = new ArrayList<>();
    for (final Peer peer : peers) {
      final boolean fits = !ownService || peer.service().equals(service);
      if (fits && peer.zone().equals(zone) == ownZone) {
        preferred.add(peer);
      }
    }
    final List<Peer> choices = preferred.isEmpty() ? peers : preferred;
    if (choices.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(choices.get(random.nextInt(choices.size())));
  }

  /**
   * Describes a peer.
   *
   * @param node its id
   * @param host its IP number
   * @param port its port
   * @param zone its availability zone
   * @param service the service of its endpoint, empty for a router
   */
  public record Peer(NodeId node, String host, int port, ZoneName zone, String service) {}
}
