package org.bulrushweir.gateway;

import com.google.common.flogger.FluentLogger;
import com.google.common.net.HostAndPort;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.Identifiers;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.balancing.EndpointTracker;
import org.bulrushweir.balancing.PeerReport;
import org.bulrushweir.balancing.RetryBudget;
import org.bulrushweir.catalog.ActivePlan;
import org.bulrushweir.catalog.RoutingPlan;
import org.bulrushweir.quarantine.PromptQuarantine;
import org.bulrushweir.settings.SocketAddressSettings;
import org.bulrushweir.store.RowChange;
import org.bulrushweir.wire.DatagramTransport;
import org.bulrushweir.wire.RemoteAddress;
import org.bulrushweir.wire.generated.RouterReport;

/**
 * Exchanges reports on load, placements and quarantined prompt segments with the other gateways.
 *
 * <p>Confined to the event loop.
 */
final class PeerMesh {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * The time after which a silent peer is removed, in milliseconds; until then it counts in the
   * division of the shared retry budget.
   */
  private static final long PEER_EXPIRY_MS = 30_000;

  /**
   * The time after its last report, or after it was added, for which a peer is sent every report,
   * in milliseconds.
   */
  private static final long ACTIVE_PEER_MS = 3_000;

  /**
   * The shortest time between a report and an early one after it, in milliseconds: a fifth of the
   * time that an engine needs for the prefill of a long prompt.
   */
  private static final long MIN_REPORT_INTERVAL_MS = 20;

  /**
   * A peer that has been silent for longer than {@link #ACTIVE_PEER_MS} is sent only one report out
   * of this many.
   */
  private static final long SILENT_PEER_REPORT_DIVISOR = 10;

  private final Map<NodeId, Peer> peers = new HashMap<>();
  private final NodeId self;
  private SocketAddressSettings address;
  private final Clock clock;
  private final EndpointTracker tracker;
  private final ActivePlan activePlan;
  private final RetryBudget retryBudget;
  private final PromptQuarantine quarantine;
  private final EventLoop loop;
  private final List<ReportSection> sections;
  private final long incarnation;
  private Set<NodeId> registered = Set.of();
  private DatagramTransport transport;
  private long sequence;
  private long lastSentMs;
  private boolean reportScheduled;
  private boolean left;

  /**
   * Creates a mesh without peers.
   *
   * @param self this process's id
   * @param address the address on which this process receives reports
   * @param clock the process's clock
   * @param tracker applies peers' reports and supplies this process's own
   * @param activePlan the active routing plan
   * @param retryBudget the retry budget, which is divided by the number of gateways
   * @param quarantine the prompt segments that are kept away from engines
   * @param loop the event loop
   * @param sections further parts of the reports
   */
  PeerMesh(
      final NodeId self,
      final SocketAddressSettings address,
      final Clock clock,
      final EndpointTracker tracker,
      final ActivePlan activePlan,
      final RetryBudget retryBudget,
      final PromptQuarantine quarantine,
      final EventLoop loop,
      final List<ReportSection> sections) {
    this.self = self;
    this.address = address;
    this.clock = clock;
    this.tracker = tracker;
    this.activePlan = activePlan;
    this.retryBudget = retryBudget;
    this.quarantine = quarantine;
    this.loop = loop;
    this.sections = List.copyOf(sections);
    this.incarnation = System.nanoTime() ^ clock.nowMs();
  }

  /**
   * Sets the bound socket and its port, which the settings may leave to the operating system.
   *
   * @param socket the socket
   */
  void socketBound(final DatagramTransport socket) {
    transport = socket;
    address = new SocketAddressSettings(address.host(), socket.port());
  }

  /**
   * Returns this process's registration.
   *
   * @return the address that peers send reports to, as {@code host:port}
   */
  String registration() {
    return HostAndPort.fromParts(address.host(), address.port()).toString();
  }

  /**
   * Adds the registered gateways as peers; registrations that can't be parsed are logged and
   * skipped.
   *
   * @param rows the rows of the table of registrations
   */
  void addRegistered(final List<RowChange> rows) {
    registered = listed(rows);
    for (final RowChange row : rows) {
      if (row.value().isPresent() && !row.key().equals(self.value())) {
        try {
          addOrGet(new NodeId(row.key()), RemoteAddress.parse(row.value().get()));
        } catch (IllegalArgumentException e) {
          logger.atWarning().log(
              "ignoring the invalid registration of gateway %s: %s", row.key(), e.getMessage());
        }
      }
    }
    updateGatewayCount();
  }

  private static Set<NodeId> listed(final List<RowChange> rows) {
    final Set<NodeId> listed = new HashSet<>();
    for (final RowChange row : rows) {
      if (row.value().isPresent() && Identifiers.isValid(row.key())) {
        listed.add(new NodeId(row.key()));
      }
    }
    return listed;
  }

  /**
   * Returns the gateways that the store listed when it was read last.
   *
   * @return the gateways, which may include this one and some that are gone
   */
  Set<NodeId> registered() {
    return registered;
  }

  private Peer addOrGet(final NodeId node, final RemoteAddress peerAddress) {
    final Peer existing = peers.get(node);
    if (existing != null && existing.address.equals(peerAddress)) {
      return existing;
    }
    logger.atInfo().log("added peer %s at %s:%d", node, peerAddress.host(), peerAddress.port());
    final Peer peer = new Peer(peerAddress, clock.nowMs());
    peers.put(node, peer);
    return peer;
  }

  private void updateGatewayCount() {
    final long nowMs = clock.nowMs();
    peers.values().removeIf(peer -> nowMs - peer.lastReportMs > PEER_EXPIRY_MS);
    retryBudget.setGatewayCount(1 + peers.size());
  }

  /**
   * Applies a peer's report. Reports that can't be parsed are logged and skipped; this process's
   * own are ignored.
   *
   * @param datagram the encoded report
   */
  void receive(final byte[] datagram) {
    try {
      apply(RouterReport.parseFrom(datagram));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      logger.atWarning().log("a peer's report can't be read: %s", e.getMessage());
    }
  }

  private void apply(final RouterReport message) {
    final PeerReport report = PeerReportCodec.decode(message);
    if (report.node().equals(self)) {
      return;
    }
    if (message.getLeaving()) {
      peers.remove(report.node());
    } else {
      final RemoteAddress peerAddress = new RemoteAddress(message.getHost(), message.getPort());
      addOrGet(report.node(), peerAddress).lastReportMs = clock.nowMs();
    }
    activePlan.recordPeerVersion(report.planVersion(), clock.nowMs());
    tracker.applyPeerReport(report, clock.nowMs());
    quarantine.applyReport(PeerReportCodec.decodeQuarantine(message), clock.nowMs());
    sections.forEach(section -> section.read(report.node(), message, clock.nowMs()));
    updateGatewayCount();
  }

  /**
   * Schedules an early report if peers need to know about recent placements before the next regular
   * one.
   */
  void reportIfUrgent() {
    if (tracker.isReportUrgent()) {
      reportSoon();
    }
  }

  /** Schedules an early report, unless one is scheduled. */
  void reportSoon() {
    if (reportScheduled) {
      return;
    }
    reportScheduled = true;
    final long delayMs = Math.max(0, lastSentMs + MIN_REPORT_INTERVAL_MS - clock.nowMs());
    loop.schedule(() -> sendReport(false), delayMs, TimeUnit.MILLISECONDS);
  }

  /**
   * Sends a report to the peers, unless this process has told them that it leaves. Requires a
   * socket that was set by {@link #socketBound}.
   *
   * @param leaving whether this process is about to stop and this is its last report
   */
  void sendReport(final boolean leaving) {
    reportScheduled = false;
    if (left) {
      // A later report would add this process to its peers again.
      return;
    }
    left = leaving;
    lastSentMs = clock.nowMs();
    sequence++;
    final PeerReport report =
        new PeerReport(
            self,
            incarnation,
            sequence,
            activePlan.current().map(RoutingPlan::version).orElse(0L),
            tracker.ownLoads(),
            tracker.drainPlacements());
    final RouterReport.Builder message =
        PeerReportCodec.encode(
            report, quarantine.report(lastSentMs), address.host(), address.port(), leaving);
    sections.forEach(section -> section.write(message, lastSentMs));
    final byte[] datagram = message.build().toByteArray();
    final long nowMs = clock.nowMs();
    for (final Peer peer : peers.values()) {
      if (nowMs - peer.lastReportMs <= ACTIVE_PEER_MS
          || sequence % SILENT_PEER_REPORT_DIVISOR == 0) {
        transport.send(peer.address.host(), peer.address.port(), datagram);
      }
    }
  }

  /** The address of another gateway and the time of its last report, or when it was added. */
  private static final class Peer {
    private final RemoteAddress address;
    private long lastReportMs;

    Peer(final RemoteAddress address, final long lastReportMs) {
      this.address = address;
      this.lastReportMs = lastReportMs;
    }
  }
}
