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

/**
 * Transfers the KV caches of chats from a leaving endpoint to the endpoints that the chats will be
 * routed to.
 */
final class CacheHandover {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time limit of the handover, in milliseconds. */
  private static final long TIME_LIMIT_MS = 20_000;

  /**
   * Least number of cached tokens for which a transfer is cheaper than prefilling the prompt again.
   */
  private static final int MINIMUM_TOKENS = 64;

  /** The connections of the current handover, by receiver. */
  private final Map<EndpointId, PeerChannel> channels = new HashMap<>();

  /** The endpoint whose caches are transferred. */
  private final EndpointId self;

  /** The service that the endpoint belongs to. */
  private final ServiceName service;

  private final Clock clock;

  /** The client of the engine, which exports caches. */
  private final EngineClient engine;

  /** This process's view of the fleet. */
  private final FleetService fleet;

  /** Opens connections to the receiving sidecars. */
  private final PeerService peers;

  /**
   * Creates a handover.
   *
   * @param self the endpoint whose caches are transferred
   * @param service the service that the endpoint belongs to
   * @param clock the clock
   * @param engine the client of the engine, which exports caches
   * @param fleet this process's view of the fleet
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
   * Transfers the caches of chats until all are sent or the time limit is reached. Blocks.
   *
   * @param chats the chats whose caches this endpoint holds, the most recently used first
   * @return the number of caches sent
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
      logger.atFine().log("could not send a cache to %s: %s", receiver, e.getMessage());
      return false;
    }
  }

  private PeerChannel connect(final EndpointInfo target) {
    return peers.connect(target.host(), target.port(), new IgnoringListener()).join();
  }

  /**
   * Returns the key under which engines export and import a chat's cache.
   *
   * @param chat the chat's hash
   * @return the hash as 16 hexadecimal digits
   */
  static String cacheKey(final long chat) {
    return String.format("%016x", chat);
  }

  /**
   * Describes a chat whose cache this endpoint holds.
   *
   * @param chat the chat's hash
   * @param location the time of its last use and the number of cached tokens
   */
  record CachedChat(long chat, ChatLocation location) {}

  /** Ignores all events of a connection that only sends. */
  private static final class IgnoringListener implements PeerListener {

    @Override
    public void received(final PeerChannel channel, final Envelope envelope) {
      // Receivers do not answer transfers.
    }

    @Override
    public void closed(final PeerChannel channel) {
      // Later sends over a closed connection are lost; the next handover opens another one.
    }
  }
}
