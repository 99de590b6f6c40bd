package org.bulrushweir.membership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.Incarnation;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.membership.PeerSelector.Peer;
import org.bulrushweir.node.ReportMessages;
import org.bulrushweir.simulation.EventQueue;

/**
 * Simulates the gossip of many nodes in virtual time, with the production tables and peer
 * selectors.
 */
final class GossipSimulation {

  private static final int SUBMIT_FANOUT = 5;
  private static final long FETCH_MS = 20;
  private static final int ANNOUNCE_FANOUT = 4;
  private static final int URGENT_FANOUT = 3;
  private static final int ENVELOPE_BYTES = 60;
  private static final int SERVICES = 39;
  private static final int ZONES = 5;

  private final EventQueue queue = new EventQueue(1_000_000);
  private final List<Node> nodes = new ArrayList<>();
  private final SplittableRandom random;
  private final double lossRate;
  private final int services;
  private final long roundMs;
  private long bytes;
  private long messages;
  private int partitionedZone = -1;

  /**
   * Creates a fleet of routers and of sidecars with one endpoint each.
   *
   * @param routers the number of nodes without an endpoint
   * @param endpoints the number of nodes with an endpoint
   * @param lossRate the fraction of datagrams that are lost, from 0 to 1
   * @param seed the seed of all random choices
   */
  GossipSimulation(final int routers, final int endpoints, final double lossRate, final long seed) {
    this.random = new SplittableRandom(seed);
    this.lossRate = lossRate;
    this.services = Math.max(1, endpoints * SERVICES / 600);
    this.roundMs = GossipPacer.roundIntervalMs(endpoints);
    for (int index = 0; index < routers + endpoints; index++) {
      nodes.add(new Node(index, index >= routers));
    }
    for (final Node node : nodes) {
      for (final Node other : nodes) {
        if (other != node) {
          node.peers.add(
              new Peer(
                  new NodeId(other.name),
                  "",
                  other.index,
                  other.zone,
                  other.hasEndpoint ? other.info.service().value() : ""));
        }
      }
      queue.schedule(random.nextInt((int) roundMs), () -> round(node));
    }
  }

  private void round(final Node node) {
    queue.schedule(roundMs, () -> round(node));
    node.selector.select(node.peers).ifPresent(peer -> send(node, nodes.get(peer.port())));
  }

  private void send(final Node from, final Node to) {
    report(from);
    final GossipMessage message = from.table.compose(to.service(), queue.nowMs());
    bytes += ReportMessages.gossipToWire(message).build().getSerializedSize() + ENVELOPE_BYTES;
    messages++;
    final boolean partitioned =
        from.zoneNumber != to.zoneNumber
            && (from.zoneNumber == partitionedZone || to.zoneNumber == partitionedZone);
    if (partitioned || random.nextDouble() < lossRate) {
      return;
    }
    final long number = from.configNumber;
    queue.schedule(
        2,
        () -> {
          receive(to, message);
          compareNumbers(from, to, number);
        });
  }

  private void receive(final Node node, final GossipMessage message) {
    if (node.table.receive(message, queue.nowMs()).urgent()) {
      announce(node, URGENT_FANOUT);
    }
  }

  private void announce(final Node node, final int fanout) {
    for (int count = 0; count < fanout; count++) {
      node.selector.select(node.peers).ifPresent(peer -> send(node, nodes.get(peer.port())));
    }
  }

  /**
   * Fetches a newer configuration from the sender, or replies to a sender whose configuration is
   * older.
   */
  private void compareNumbers(final Node from, final Node to, final long number) {
    if (number > to.configNumber) {
      queue.schedule(FETCH_MS, () -> adopt(to, number));
    } else if (number < to.configNumber) {
      send(to, from);
    }
  }

  private void adopt(final Node node, final long number) {
    if (number <= node.configNumber) {
      return;
    }
    node.configNumber = number;
    announce(node, ANNOUNCE_FANOUT);
  }

  /**
   * Makes a few random nodes outside the partitioned zone adopt a configuration, as a submission
   * does.
   *
   * @param number the configuration's number
   */
  void submit(final long number) {
    final List<Node> reachable =
        nodes.stream().filter(node -> node.zoneNumber != partitionedZone).toList();
    for (int count = 0; count < SUBMIT_FANOUT; count++) {
      adopt(reachable.get(random.nextInt(reachable.size())), number);
    }
  }

  /**
   * Returns how many nodes have not adopted a configuration.
   *
   * @param number the configuration's number
   * @return the number of nodes
   */
  long behind(final long number) {
    return nodes.stream().filter(node -> node.configNumber < number).count();
  }

  private void report(final Node node) {
    if (!node.hasEndpoint || node.silent) {
      return;
    }
    node.version++;
    node.table.merge(
        new AgedReport(
            new EndpointReport(
                node.key,
                new Incarnation(1_000_000),
                node.version,
                node.leaving,
                random.nextInt(20_000),
                25_000),
            0),
        queue.nowMs());
    node.table.putInfo(node.info);
  }

  /**
   * Runs the simulation.
   *
   * @param durationMs the virtual time to run, in milliseconds
   */
  void run(final long durationMs) {
    queue.runUntil(queue.nowMs() + durationMs);
  }

  /** Resets the counters of bytes and messages. */
  void resetCounters() {
    bytes = 0;
    messages = 0;
  }

  /**
   * Partitions a zone from all others.
   *
   * @param zone the zone's number, negative to heal the partition
   */
  void partitionZone(final int zone) {
    partitionedZone = zone;
  }

  /** Makes an endpoint report that it is leaving, and gossips to a few peers immediately. */
  void leave(final int index) {
    final Node node = nodes.get(index);
    node.leaving = true;
    announce(node, ANNOUNCE_FANOUT);
  }

  /**
   * Returns how many nodes have no report that an endpoint is leaving.
   *
   * @param index the index of the endpoint's node
   * @return the number of nodes
   */
  long unaware(final int index) {
    final long key = nodes.get(index).key;
    return nodes.stream()
        .filter(
            node ->
                node.table
                    .report(key, queue.nowMs())
                    .map(aged -> !aged.report().leaving())
                    .orElse(true))
        .count();
  }

  /**
   * Returns the mean gossip traffic of a node since the counters were reset.
   *
   * @param durationMs the time since the counters were reset, in milliseconds
   * @return bytes per second in both directions, averaged over all nodes
   */
  double bytesPerSecond(final long durationMs) {
    return 2.0 * bytes / nodes.size() / (durationMs / 1_000.0);
  }

  /**
   * Returns a quantile of the ages of all reports at all nodes.
   *
   * @param share the quantile, from 0 to 1
   * @return the age in milliseconds; missing reports count as {@link Long#MAX_VALUE}
   */
  long ageMs(final double share) {
    return quantile(share, (node, other) -> true);
  }

  /**
   * Returns a quantile of the ages of the reports that sidecars have of the endpoints of their own
   * service.
   *
   * @param share the quantile, from 0 to 1
   * @return the age in milliseconds; missing reports count as {@link Long#MAX_VALUE}
   */
  long poolAgeMs(final double share) {
    return quantile(share, (node, other) -> node.service().equals(other.service()));
  }

  private long quantile(final double share, final BiPredicate<Node, Node> counts) {
    final List<Long> ages = new ArrayList<>();
    for (final Node node : nodes) {
      for (final Node other : nodes) {
        if (other.hasEndpoint && !other.silent && counts.test(node, other)) {
          ages.add(
              node.table
                  .report(other.key, queue.nowMs())
                  .map(AgedReport::ageMs)
                  .orElse(Long.MAX_VALUE));
        }
      }
    }
    final long[] sorted = ages.stream().mapToLong(Long::longValue).toArray();
    Arrays.sort(sorted);
    return sorted[(int) Math.min(sorted.length - 1L, (long) (sorted.length * share))];
  }

  /** A router or sidecar. */
  private final class Node {

    private final List<Peer> peers = new ArrayList<>();
    private final EndpointTable table = new EndpointTable(GossipSettings.DEFAULT, random.split());
    private final int index;
    private final String name;
    private final int zoneNumber;
    private final ZoneName zone;
    private final PeerSelector selector;
    private final boolean hasEndpoint;
    private final long key;
    private final EndpointInfo info;
    private int version;
    private long configNumber;
    private boolean leaving;
    private boolean silent;

    private Node(final int index, final boolean hasEndpoint) {
      this.index = index;
      this.name = "node-" + index;
      this.zoneNumber = index % ZONES;
      this.zone = new ZoneName("zone-" + zoneNumber);
      this.selector =
          new PeerSelector(zone, hasEndpoint ? serviceName(index % services) : "", random.split());
      this.hasEndpoint = hasEndpoint;
      final EndpointId id = new EndpointId(name);
      this.key = EndpointTable.key(id);
      this.info =
          new EndpointInfo(
              id, "10.0.0.1", 7_400, zone, new ServiceName(serviceName(index % services)));
    }

    private String service() {
      return hasEndpoint ? info.service().value() : "";
    }

    private static String serviceName(final int number) {
      return "service-" + number;
    }
  }
}
