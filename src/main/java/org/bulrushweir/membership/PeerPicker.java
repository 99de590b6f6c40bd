package org.bulrushweir.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.ZoneName;

/** Picks the peers that a process talks to: mostly in its own availability zone. */
public final class PeerPicker {

  /** Every how many messages one goes to another availability zone. */
  private static final int CROSS_ZONE_EVERY = 4;

  private final ZoneName zone;
  private final RandomGenerator random;
  private int picks;

  /**
   * Creates a picker.
   *
   * @param zone the process's own zone
   * @param random picks among equals
   */
  public PeerPicker(final ZoneName zone, final RandomGenerator random) {
    this.zone = zone;
    this.random = random;
  }

  /**
   * Picks a peer.
   *
   * @param peers the peers, without the process itself
   * @return a peer, empty if there is none
   */
  public Optional<Peer> pick(final List<Peer> peers) {
    picks++;
    final boolean own = picks % CROSS_ZONE_EVERY != 0;
    final List<Peer> preferred = new ArrayList<>();
    for (final Peer peer : peers) {
      if (peer.zone().equals(zone) == own) {
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
   */
  public record Peer(NodeId node, String host, int port, ZoneName zone) {}
}
