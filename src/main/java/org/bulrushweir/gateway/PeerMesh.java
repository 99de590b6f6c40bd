package org.bulrushweir.gateway;

import com.google.common.flogger.FluentLogger;
import com.google.common.net.HostAndPort;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.balancing.EndpointTracker;
import org.bulrushweir.balancing.PeerReport;
import org.bulrushweir.balancing.RetryBudget;
import org.bulrushweir.catalog.ActivePlan;
import org.bulrushweir.catalog.RoutingPlan;
import org.bulrushweir.settings.SocketAddressSettings;
import org.bulrushweir.store.RowChange;
import org.bulrushweir.wire.DatagramTransport;
import org.bulrushweir.wire.generated.RouterReport;

/** Exchanges reports with the other gateways; used on the event loop only. */
final class PeerMesh {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** For how long a silent peer still counts for the shared budget, in milliseconds. */
  private static final long COUNTED_MS = 30_000;

  /** For how long a silent peer gets every report, in milliseconds. */
  private static final long LIVELY_MS = 3_000;

  /**
   * The least time between reports, in milliseconds: a fifth of the time in which an engine reads a
   * long prompt.
   */
  private static final long MIN_INTERVAL_MS = 20;

  /** Every which report a silent peer gets. */
  private static final long SPARSE = 10;

  private final Map<NodeId, Peer> peers = new HashMap<>();
  private final NodeId self;
  private SocketAddressSettings address;
  private final Clock clock;
  private final EndpointTracker tracker;
  private final ActivePlan activePlan;
  private final RetryBudget retryBudget;
  private final EventLoop loop;
  private final long incarnation;
  private DatagramTransport transport;
  private long sequence;
  private long reportedMs;
  private boolean reportScheduled;

  /**
   * Creates a mesh without peers.
   *
   * @param self this process's id
   * @param address where this process takes reports
   * @param clock the clock
   * @param tracker takes the reports
   * @param activePlan holds the plan in force
   * @param retryBudget is divided by the number of gateways
   * @param loop the event loop
   */
  PeerMesh(
      final NodeId self,
      final SocketAddressSettings address,
      final Clock clock,
      final EndpointTracker tracker,
      final ActivePlan activePlan,
      final RetryBudget retryBudget,
      final EventLoop loop) {
    this.self = self;
    this.address = address;
    this.clock = clock;
    this.tracker = tracker;
    this.activePlan = activePlan;
    this.retryBudget = retryBudget;
    this.loop = loop;
    this.incarnation = System.nanoTime() ^ clock.nowMs();
  }

  /**
   * Notes the socket that was bound; the settings may leave its port open.
   *
   * @param socket the socket
   */
  void bound(final DatagramTransport socket) {
    transport = socket;
    address = new SocketAddressSettings(address.host(), socket.port());
  }

  /**
   * Returns this process's registration.
   *
   * @return the value of its row
   */
  String registration() {
    return HostAndPort.fromParts(address.host(), address.port()).toString();
  }

  /**
   * Takes the registrations of gateways.
   *
   * @param rows the rows
   */
  void registered(final List<RowChange> rows) {
    for (final RowChange row : rows) {
      if (row.value().isPresent() && !row.key().equals(self.value())) {
        try {
          final HostAndPort registered = HostAndPort.fromString(row.value().get());
          learn(new NodeId(row.key()), registered.getHost(), registered.getPort());
        } catch (IllegalArgumentException | IllegalStateException e) {
          logger.atWarning().log("the registration of %s can't be read", row.key());
        }
      }
    }
    count();
  }

  private Peer learn(final NodeId node, final String host, final int port) {
    final Peer known = peers.get(node);
    if (known != null && known.host.equals(host) && known.port == port) {
      return known;
    }
    logger.atInfo().log("peer %s at %s:%d", node, host, port);
    final Peer peer = new Peer(host, port, clock.nowMs());
    peers.put(node, peer);
    return peer;
  }

  private void count() {
    final long nowMs = clock.nowMs();
    peers.values().removeIf(peer -> nowMs - peer.heardMs > COUNTED_MS);
    retryBudget.setRouterCount(1 + peers.size());
  }

  /**
   * Takes a peer's report.
   *
   * @param datagram the report as it came
   */
  void receive(final byte[] datagram) {
    final RouterReport message;
    try {
      message = RouterReport.parseFrom(datagram);
    } catch (InvalidProtocolBufferException e) {
      logger.atWarning().log("a peer's report can't be read: %s", e.getMessage());
      return;
    }
    final PeerReport report = PeerReportCodec.decode(message);
    if (report.node().equals(self)) {
      return;
    }
    if (message.getLeaving()) {
      peers.remove(report.node());
    } else {
      learn(report.node(), message.getHost(), message.getPort()).heardMs = clock.nowMs();
    }
    tracker.applyPeerReport(report, clock.nowMs());
    count();
  }

  /** Sends a report soon if peers should hear at once where prompts were sent. */
  void placed() {
    if (reportScheduled || !tracker.isReportUrgent()) {
      return;
    }
    reportScheduled = true;
    final long delayMs = Math.max(0, reportedMs + MIN_INTERVAL_MS - clock.nowMs());
    loop.schedule(() -> report(false), delayMs, TimeUnit.MILLISECONDS);
  }

  /**
   * Sends a report to the peers.
   *
   * @param leaving whether it is the last one
   */
  void report(final boolean leaving) {
    reportScheduled = false;
    reportedMs = clock.nowMs();
    sequence++;
    final PeerReport report =
        new PeerReport(
            self,
            incarnation,
            sequence,
            activePlan.current().map(RoutingPlan::version).orElse(0L),
            tracker.ownLoads(),
            tracker.drainPlacements());
    final byte[] datagram =
        PeerReportCodec.encode(report, address.host(), address.port(), leaving).toByteArray();
    final long nowMs = clock.nowMs();
    for (final Peer peer : peers.values()) {
      if (nowMs - peer.heardMs <= LIVELY_MS || sequence % SPARSE == 0) {
        transport.send(peer.host, peer.port, datagram);
      }
    }
  }

  /** Another gateway. */
  private static final class Peer {
    private final String host;
    private final int port;
    private long heardMs;

    Peer(final String host, final int port, final long heardMs) {
      this.host = host;
      this.port = port;
      this.heardMs = heardMs;
    }
  }
}
