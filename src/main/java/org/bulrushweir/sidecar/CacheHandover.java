package org.bulrushweir.sidecar;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushweir.affinity.ChatLocation;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.engine.EngineClient;
import org.bulrushweir.membership.EndpointInfo;
import org.bulrushweir.node.FleetService;
import org.bulrushweir.node.PeerService;
import org.bulrushweir.routing.HashRing;
import org.bulrushweir.wire.PeerChannel;
import org.bulrushweir.wire.PeerListener;
import org.bulrushweir.wire.generated.CacheTransfer;
import org.bulrushweir.wire.generated.Envelope;

/** Hands the caches of chats to the endpoints that get the chats when this one leaves. */
final class CacheHandover {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How long the handover may take, in milliseconds. */
  private static final long TIME_LIMIT_MS = 20_000;

  /** From how many cached tokens on a transfer is cheaper than reading the prompt again. */
  private static final int MINIMUM_TOKENS = 64;

  /** The open connections, by receiver. */
  private final Map<EndpointId, PeerChannel> channels = new HashMap<>();

  /** The leaving endpoint. */
  private final EndpointId self;

  /** The service that it belongs to. */
  private final ServiceName service;

  /** The clock. */
  private final Clock clock;

  /** Exports caches. */
  private final EngineClient engine;

  /** What this process knows of the fleet. */
  private final FleetService fleet;

  /** Opens connections to the receiving sidecars. */
  private final PeerService peers;

  /**
   * Creates a handover.
   *
   * @param self the leaving endpoint
   * @param service the service that it belongs to
   * @param clock the clock
   * @param engine exports caches
   * @param fleet what this process knows of the fleet
   * @param peers opens connections to the receiving sidecars
   */
  CacheHandover(
      final EndpointId self,
      final ServiceName service,
      final Clock clock,
      final EngineClient engine,
      final FleetService fleet,
      final PeerService peers) {
    this.self = self;
    this.service = service;
    this.clock = clock;
    this.engine = engine;
    this.fleet = fleet;
    this.peers = peers;
  }

  /**
   * Hands over the caches of chats, until the time is up.
   *
   * @param chats the chats that ran here last, the most recent one first
   * @return how many caches were handed over
   */
  int run(final List<CachedChat> chats) {
    final long endMs = clock.nowMs() + TIME_LIMIT_MS;
    final List<EndpointId> successors =
        fleet.endpoints(service).stream().filter(endpoint -> !endpoint.equals(self)).toList();
    final HashRing ring = new HashRing(successors);
    int handedOver = 0;
    for (final CachedChat chat : chats) {
      if (successors.isEmpty() || clock.nowMs() >= endMs) {
        break;
      }
      if (chat.location().tokens() >= MINIMUM_TOKENS && transfer(chat, ring)) {
        handedOver++;
      }
    }
    channels.values().forEach(PeerChannel::close);
    channels.clear();
    return handedOver;
  }

  private boolean transfer(final CachedChat chat, final HashRing successors) {
    final EndpointId receiver = successors.ownerOf(chat.chat());
    final Optional<EndpointInfo> target = fleet.find(receiver);
    final Optional<byte[]> content = engine.exportCache(cacheKey(chat.chat()));
    if (target.isEmpty() || content.isEmpty()) {
      return false;
    }
    final CacheTransfer transfer =
        CacheTransfer.newBuilder()
            .setChat(chat.chat())
            .setTokens(chat.location().tokens())
            .setContent(ByteString.copyFrom(content.get()))
            .build();
    try {
      final PeerChannel channel = channels.computeIfAbsent(receiver, id -> connect(target.get()));
      channel.send(Envelope.newBuilder().setCacheTransfer(transfer));
      return true;
    } catch (RuntimeException e) {
      logger.atFine().log("a cache could not be sent to %s: %s", receiver, e.getMessage());
      return false;
    }
  }

  private PeerChannel connect(final EndpointInfo target) {
    return peers.connect(target.host(), target.port(), new IgnoringListener()).join();
  }

  /**
   * Names a chat's cache to engines.
   *
   * @param chat the chat's hash
   * @return the name
   */
  static String cacheKey(final long chat) {
    return String.format("%016x", chat);
  }

  /**
   * Names a chat that ran here last.
   *
   * @param chat the chat's hash
   * @param location when it ran and what is cached
   */
  record CachedChat(long chat, ChatLocation location) {}

  /** Listens to nothing. */
  private static final class IgnoringListener implements PeerListener {

    @Override
    public void received(final PeerChannel channel, final Envelope envelope) {
      // Transfers are not answered.
    }

    @Override
    public void closed(final PeerChannel channel) {
      // The next transfer opens another connection.
    }
  }
}
