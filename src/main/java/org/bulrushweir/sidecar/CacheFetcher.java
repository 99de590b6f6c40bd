package org.bulrushweir.sidecar;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.membership.EndpointInfo;
import org.bulrushweir.node.FleetService;
import org.bulrushweir.node.PeerService;
import org.bulrushweir.wire.PeerChannel;
import org.bulrushweir.wire.PeerListener;
import org.bulrushweir.wire.generated.CacheRequest;
import org.bulrushweir.wire.generated.CacheTransfer;
import org.bulrushweir.wire.generated.Envelope;

/** Fetches the KV caches of chats from the sidecars of other endpoints. Thread-safe. */
final class CacheFetcher implements PeerListener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Timeout of a fetch, in milliseconds; beyond it, prefilling the prompt again is faster. */
  private static final long TIMEOUT_MS = 500;

  /** The connections to other sidecars, open or being opened, by endpoint. */
  private final Map<EndpointId, CompletableFuture<PeerChannel>> channels =
      new ConcurrentHashMap<>();

  /** The pending fetches, by the chat's hash. */
  private final Map<Long, CompletableFuture<CacheTransfer>> pendingFetches =
      new ConcurrentHashMap<>();

  /** This process's view of the fleet. */
  private final FleetService fleet;

  /** Opens connections to peers. */
  private final PeerService peers;

  /**
   * Creates a fetcher.
   *
   * @param fleet this process's view of the fleet
   * @param peers opens connections to peers
   */
  CacheFetcher(final FleetService fleet, final PeerService peers) {
    this.fleet = fleet;
    this.peers = peers;
  }

  /**
   * Fetches the cache of a chat. Blocks until it arrives or the timeout elapses.
   *
   * @param endpoint the endpoint that holds the cache
   * @param chat the chat's hash
   * @return the cache, empty if the endpoint is unknown, can't be reached, does not have the cache
   *     or exceeds the timeout
   */
  Optional<CacheTransfer> fetch(final EndpointId endpoint, final long chat) {
    final Optional<EndpointInfo> target = fleet.find(endpoint);
    if (target.isEmpty()) {
      return Optional.empty();
    }
    final CompletableFuture<CacheTransfer> pending =
        pendingFetches.computeIfAbsent(chat, key -> new CompletableFuture<>());
    try {
      channel(target.get())
          .thenAccept(
              channel ->
                  channel.send(
                      Envelope.newBuilder()
                          .setCacheRequest(CacheRequest.newBuilder().setChat(chat))))
          .exceptionally(
              failure -> {
                pending.completeExceptionally(failure);
                return null;
              });
      final CacheTransfer transfer = pending.orTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS).join();
      return transfer.getTokens() == 0 ? Optional.empty() : Optional.of(transfer);
    } catch (CompletionException e) {
      logger.atFine().log("could not fetch a cache from %s: %s", endpoint, e.getMessage());
      return Optional.empty();
    } finally {
      pendingFetches.remove(chat);
    }
  }

  private CompletableFuture<PeerChannel> channel(final EndpointInfo target) {
    return channels.compute(
        target.id(),
        (id, known) -> {
          final boolean usable =
              known != null
                  && !known.isCompletedExceptionally()
                  && (!known.isDone() || known.join().isOpen());
          return usable ? known : peers.connect(target.host(), target.port(), this);
        });
  }

  @Override
  public void received(final PeerChannel channel, final Envelope envelope) {
    if (!envelope.hasCacheTransfer()) {
      return;
    }
    final CompletableFuture<CacheTransfer> pending =
        pendingFetches.get(envelope.getCacheTransfer().getChat());
    if (pending != null) {
      pending.complete(envelope.getCacheTransfer());
    }
  }

  @Override
  public void closed(final PeerChannel channel) {
    // Pending fetches run into their timeout.
  }
}
