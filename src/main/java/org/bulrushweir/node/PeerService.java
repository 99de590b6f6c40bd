package org.bulrushweir.node;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.kernel.KernelService;
import org.bulrushweir.settings.ProcessSettings;
import org.bulrushweir.timeline.EventLog;
import org.bulrushweir.wire.EnvelopeStamp;
import org.bulrushweir.wire.PeerChannel;
import org.bulrushweir.wire.PeerIdentity;
import org.bulrushweir.wire.PeerListener;
import org.bulrushweir.wire.PeerTransport;
import org.bulrushweir.wire.generated.ConfigRequest;
import org.bulrushweir.wire.generated.Envelope;
import org.bulrushweir.wire.generated.Ping;
import org.bulrushweir.wire.generated.Pong;

/** Connects this process with its peers and answers what every process answers. */
public final class PeerService implements KernelService {

  private final List<PeerListener> acceptedListeners = new CopyOnWriteArrayList<>();
  private final ProcessSettings settings;
  private final ConfigService configuration;
  private final PeerTransport transport;
  private int port;

  /**
   * Creates the service.
   *
   * @param settings the process's settings
   * @param self who this process is
   * @param configuration the configuration in force
   * @param events the events of this process, whose clock rides on messages
   */
  public PeerService(
      final ProcessSettings settings,
      final PeerIdentity self,
      final ConfigService configuration,
      final EventLog events) {
    this.settings = settings;
    this.configuration = configuration;
    this.transport =
        new PeerTransport(self, new EnvelopeStamp(configuration::number, events.clock()));
  }

  @Override
  public void start() {
    port =
        transport.listen(
            settings.peer().host(),
            settings.peer().port(),
            observing(new AcceptedConnectionListener()));
  }

  @Override
  public void stop() {
    transport.close();
  }

  /**
   * Returns who this process is.
   *
   * @return the identity
   */
  public PeerIdentity self() {
    return transport.self();
  }

  /**
   * Returns the port at which peers connect.
   *
   * @return the bound port
   */
  public int port() {
    return port;
  }

  /**
   * Adds a listener for the connections that peers open.
   *
   * @param listener hears all messages but the common ones
   */
  public void addAcceptedListener(final PeerListener listener) {
    acceptedListeners.add(listener);
  }

  /**
   * Opens a connection to a peer.
   *
   * @param host the peer's IP number
   * @param peerPort the peer's port
   * @param listener hears all messages but the common ones
   * @return completes when the peer has answered
   */
  public CompletableFuture<PeerChannel> connect(
      final String host, final int peerPort, final PeerListener listener) {
    return transport.connect(host, peerPort, observing(listener));
  }

  private PeerListener observing(final PeerListener listener) {
    return new ObservingListener(configuration, listener);
  }

  /** Passes what comes on accepted connections to all listeners. */
  private final class AcceptedConnectionListener implements PeerListener {

    @Override
    public void received(final PeerChannel channel, final Envelope envelope) {
      acceptedListeners.forEach(listener -> listener.received(channel, envelope));
    }

    @Override
    public void closed(final PeerChannel channel) {
      acceptedListeners.forEach(listener -> listener.closed(channel));
    }
  }

  /**
   * Fetches texts from a peer over an open connection.
   *
   * @param channel the connection
   */
  private record ChannelSource(PeerChannel channel) implements ConfigSource {

    @Override
    public NodeId node() {
      return channel.remote().node();
    }

    @Override
    public void requestText() {
      channel.send(Envelope.newBuilder().setConfigRequest(ConfigRequest.newBuilder()));
    }
  }

  /**
   * Answers the common messages, and takes note of configuration numbers.
   *
   * @param configuration the configuration in force
   * @param delegate hears all other messages
   */
  private record ObservingListener(ConfigService configuration, PeerListener delegate)
      implements PeerListener {

    @Override
    public void received(final PeerChannel channel, final Envelope envelope) {
      if (envelope.getConfigNumber() > configuration.number()) {
        configuration.numberSeen(new ChannelSource(channel), envelope.getConfigNumber());
      }
      switch (envelope.getBodyCase()) {
        case PING -> pong(channel, envelope.getPing());
        case CONFIG_REQUEST -> configuration.sendText(channel);
        case CONFIG_TEXT -> {
          configuration.textArrived(envelope.getConfigText());
          delegate.received(channel, envelope);
        }
        default -> delegate.received(channel, envelope);
      }
    }

    private static void pong(final PeerChannel channel, final Ping ping) {
      channel.send(Envelope.newBuilder().setPong(Pong.newBuilder().setNonce(ping.getNonce())));
    }

    @Override
    public void closed(final PeerChannel channel) {
      delegate.closed(channel);
    }
  }
}
