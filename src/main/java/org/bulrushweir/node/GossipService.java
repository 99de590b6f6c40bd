package org.bulrushweir.node;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.random.RandomGenerator;
import org.bulrushweir.api.Identifiers;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.kernel.KernelService;
import org.bulrushweir.membership.GossipPacer;
import org.bulrushweir.membership.PeerSelector;
import org.bulrushweir.membership.PeerSelector.Peer;
import org.bulrushweir.settings.ProcessSettings;
import org.bulrushweir.wire.DatagramTransport;
import org.bulrushweir.wire.PeerChannel;
import org.bulrushweir.wire.PeerListener;
import org.bulrushweir.wire.generated.ConfigRequest;
import org.bulrushweir.wire.generated.Envelope;
import org.bulrushweir.wire.generated.Gossip;

/** Exchanges reports and configuration numbers with a few peers, in datagrams. */
public final class GossipService implements KernelService {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** To how many peers a new configuration number is told at once. */
  private static final int NEWS_FANOUT = 4;

  /** To how many peers an endpoint's change of state is passed on at once. */
  private static final int URGENT_FANOUT = 3;

  /** Counts the bytes of sent datagrams. */
  private final LongAdder bytesSent = new LongAdder();

  /** Counts the bytes of received datagrams. */
  private final LongAdder bytesReceived = new LongAdder();

  /** Sends the datagrams. */
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().name("gossip").daemon().factory());

  /** The process's settings. */
  private final ProcessSettings settings;

  /** What this process knows of the fleet. */
  private final FleetService fleet;

  /** The configuration in force. */
  private final ConfigService configuration;

  /** The connections with peers. */
  private final PeerService peers;

  /** Picks peers. */
  private final PeerSelector selector;

  /** Carries the datagrams. */
  private DatagramTransport transport;

  /**
   * Creates the service.
   *
   * @param settings the process's settings
   * @param fleet what this process knows of the fleet
   * @param configuration the configuration in force
   * @param peers the connections with peers
   * @param random picks peers
   */
  public GossipService(
      final ProcessSettings settings,
      final FleetService fleet,
      final ConfigService configuration,
      final PeerService peers,
      final RandomGenerator random) {
    this.settings = settings;
    this.fleet = fleet;
    this.configuration = configuration;
    this.peers = peers;
    this.selector =
        new PeerSelector(
            settings.zone(), settings.service() == null ? "" : settings.service().value(), random);
  }

  @Override
  public void start() {
    transport = DatagramTransport.bind(settings.peer().host(), peers.port(), this::received);
    executor.execute(this::roundRepeatedly);
    configuration.addListener(
        config -> {
          announce();
        });
  }

  @Override
  public void stop() {
    executor.shutdownNow();
    transport.close();
  }

  /** Tells a few peers the news at once, without waiting for the next round. */
  public void announce() {
    announce(NEWS_FANOUT);
  }

  private void announce(final int fanout) {
    for (int count = 0; count < fanout; count++) {
      executor.execute(this::round);
    }
  }

  /**
   * Counts the bytes of gossip.
   *
   * @return sent and received bytes since the start
   */
  public long bytes() {
    return bytesSent.sum() + bytesReceived.sum();
  }

  private void roundRepeatedly() {
    round();
    executor.schedule(
        this::roundRepeatedly, GossipPacer.roundIntervalMs(fleet.size()), TimeUnit.MILLISECONDS);
  }

  private void round() {
    try {
      selector
          .select(candidates())
          .ifPresent(peer -> send(peer.host(), peer.port(), peer.service()));
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log("a round of gossip failed");
    }
  }

  /** Joins the listed peers with those of the settings, which help while the platform is down. */
  private List<Peer> candidates() {
    final NodeId self = settings.node();
    final Map<InetSocketAddress, Peer> candidates = new LinkedHashMap<>();
    for (final Peer peer : fleet.peers(self)) {
      candidates.put(new InetSocketAddress(peer.host(), peer.port()), peer);
    }
    for (final InetSocketAddress seed : settings.seeds()) {
      if (seed.getPort() != peers.port()) {
        candidates.putIfAbsent(
            seed, new Peer(self, seed.getHostString(), seed.getPort(), settings.zone(), ""));
      }
    }
    return new ArrayList<>(candidates.values());
  }

  private void send(final String host, final int port, final String service) {
    final byte[] datagram =
        ReportMessages.gossipToWire(fleet.compose(service))
            .setSender(settings.node().value())
            .setHost(settings.peer().host())
            .setPort(peers.port())
            .setConfigNumber(configuration.number())
            .build()
            .toByteArray();
    bytesSent.add(datagram.length);
    transport.send(host, port, datagram);
  }

  private void received(final byte[] datagram) {
    bytesReceived.add(datagram.length);
    try {
      final Gossip gossip = Gossip.parseFrom(datagram);
      if (fleet.receive(ReportMessages.gossipFromWire(gossip))) {
        announce(URGENT_FANOUT);
      }
      compareNumbers(gossip);
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      logger.atWarning().log("dropping a malformed datagram: %s", e.getMessage());
    }
  }

  private void compareNumbers(final Gossip gossip) {
    if (!Identifiers.isValid(gossip.getSender())) {
      return;
    }
    if (gossip.getConfigNumber() > configuration.number()) {
      configuration.numberSeen(
          new GossipSource(gossip.getSender(), gossip.getHost(), gossip.getPort()),
          gossip.getConfigNumber());
    } else if (gossip.getConfigNumber() < configuration.number()) {
      send(gossip.getHost(), gossip.getPort(), "");
    }
  }

  /** Fetches texts from a peer that was heard of by datagram. */
  private final class GossipSource implements ConfigSource {

    private final NodeId node;
    private final String host;
    private final int port;

    private GossipSource(final String node, final String host, final int port) {
      this.node = new NodeId(node);
      this.host = host;
      this.port = port;
    }

    @Override
    public NodeId node() {
      return node;
    }

    @Override
    public void requestText() {
      peers
          .connect(host, port, new ClosingListener())
          .thenAccept(
              channel ->
                  channel.send(Envelope.newBuilder().setConfigRequest(ConfigRequest.newBuilder())));
    }
  }

  /** Closes a connection after the first answer that is not a hello. */
  private static final class ClosingListener implements PeerListener {

    @Override
    public void received(final PeerChannel channel, final Envelope envelope) {
      if (envelope.getBodyCase() != Envelope.BodyCase.HELLO) {
        channel.close();
      }
    }

    @Override
    public void closed(final PeerChannel channel) {
      // Nothing waits for this connection.
    }
  }
}
