package org.bulrushweir.node;

import java.util.List;
import org.bulrushweir.api.ConfigNumber;
import org.bulrushweir.kernel.KernelService;
import org.bulrushweir.metrics.FleetMetrics;
import org.bulrushweir.timeline.EventKind;
import org.bulrushweir.timeline.EventLog;
import org.bulrushweir.timeline.EventMessages;
import org.bulrushweir.timeline.EventSubject;
import org.bulrushweir.wire.PeerChannel;
import org.bulrushweir.wire.PeerIdentity;
import org.bulrushweir.wire.PeerListener;
import org.bulrushweir.wire.generated.Envelope;
import org.bulrushweir.wire.generated.EventsReport;
import org.bulrushweir.wire.generated.StatusReport;

/** Answers operators' questions about this process: status and events. */
public final class AdminService implements KernelService, PeerListener {

  /** What this process is, for the status. */
  private final String role;

  /** The connections with peers. */
  private final PeerService peers;

  /** The configuration in force. */
  private final ConfigService configuration;

  /** What this process knows of the fleet. */
  private final FleetService fleet;

  /** The exchange of reports with peers. */
  private final GossipService gossip;

  /** Tells the role's part of the status. */
  private final StatusSource source;

  /** The events of this process. */
  private final EventLog events;

  /** The metrics of this process. */
  private final FleetMetrics metrics;

  /**
   * Creates the service.
   *
   * @param role what this process is
   * @param peers the connections with peers
   * @param configuration the configuration in force
   * @param fleet what this process knows of the fleet
   * @param gossip the exchange of reports with peers
   * @param source tells the role's part of the status
   * @param events the events of this process
   * @param metrics the metrics of this process
   */
  public AdminService(
      final String role,
      final PeerService peers,
      final ConfigService configuration,
      final FleetService fleet,
      final GossipService gossip,
      final StatusSource source,
      final EventLog events,
      final FleetMetrics metrics) {
    this.role = role;
    this.peers = peers;
    this.configuration = configuration;
    this.fleet = fleet;
    this.gossip = gossip;
    this.source = source;
    this.events = events;
    this.metrics = metrics;
  }

  @Override
  public void start() {
    peers.addAcceptedListener(this);
    events.add(EventKind.PROCESS_STARTED, EventSubject.PROCESS, role);
    configuration.addListener(
        config ->
            events.add(
                EventKind.CONFIG_IN_FORCE,
                EventSubject.of(new ConfigNumber(config.number().value())),
                ""));
    metrics.gauge(
        "bulrushweir_config_number",
        "The number of the configuration in force.",
        configuration::number);
    metrics.gauge(
        "bulrushweir_known_endpoints",
        "How many endpoints this process has heard of.",
        fleet::size);
    metrics.gauge(
        "bulrushweir_gossip_bytes",
        "Bytes of gossip sent and received since the start.",
        gossip::bytes);
  }

  @Override
  public void stop() {
    events.add(EventKind.PROCESS_STOPPING, EventSubject.PROCESS, role);
  }

  @Override
  public void received(final PeerChannel channel, final Envelope envelope) {
    switch (envelope.getBodyCase()) {
      case STATUS_REQUEST -> channel.send(Envelope.newBuilder().setStatusReport(status()));
      case EVENTS_REQUEST -> channel.send(Envelope.newBuilder().setEventsReport(report()));
      default -> {
        // Other messages are for other listeners.
      }
    }
  }

  @Override
  public void closed(final PeerChannel channel) {
    // Nothing is kept for a connection.
  }

  /**
   * Describes the status of this process.
   *
   * @return the status
   */
  public StatusReport.Builder status() {
    final PeerIdentity self = peers.self();
    final StatusReport.Builder report =
        StatusReport.newBuilder()
            .setNode(self.node().value())
            .setRole(role)
            .setZone(self.zone().value())
            .setIncarnation(self.incarnation().value())
            .setConfigNumber(configuration.number())
            .setKnownEndpoints(fleet.size());
    source.describe(report);
    return report;
  }

  private EventsReport.Builder report() {
    return EventsReport.newBuilder()
        .addAllEvents(List.copyOf(events.events()).stream().map(EventMessages::toWire).toList());
  }
}
