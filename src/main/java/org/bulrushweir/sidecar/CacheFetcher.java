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

/** Fetches the caches of chats from the sidecars of other endpoints. Safe for many threads. */
final class CacheFetcher implements PeerListener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How long a fetch may take before reading the prompt is quicker, in milliseconds. */
  private static final long TIMEOUT_MS = 500;

  /** The open connections, by endpoint. */
  private final Map<EndpointId, CompletableFuture<PeerChannel>> channels =
      new ConcurrentHashMap<>();

  /** Those who wait, by chat. */
  private final Map<Long, CompletableFuture<CacheTransfer>> waiting = new ConcurrentHashMap<>();

  /** What this process knows of the fleet. */
  private final FleetService fleet;

  /** Opens connections. */
  private final PeerService peers;

  /**
   * Creates a fetcher.
   *
   * @param fleet what this process knows of the fleet
   * @param peers opens connections
   */
  CacheFetcher(final FleetService fleet, final PeerService peers) {
    this.fleet = fleet;
    this.peers = peers;
  }

  /**
   * Fetches a cache. Blocks.
   *
   * @param endpoint the endpoint that has it
   * @param chat the chat's hash
   * @return the cache, empty if the endpoint does not have it or takes too long
   */
  Optional<CacheTransfer> fetch(final EndpointId endpoint, final long chat) {
    final Optional<EndpointInfo> target = fleet.find(endpoint);
    if (target.isEmpty()) {
      return Optional.empty();
    }
    final CompletableFuture<CacheTransfer> answer =
        waiting.computeIfAbsent(chat, key -> new CompletableFuture<>());
    try {
      channel(target.get())
          .thenAccept(
              channel ->
                  channel.send(
                      Envelope.newBuilder()
                          .setCacheRequest(CacheRequest.newBuilder().setChat(chat))))
          .exceptionally(
              failure -> {
                answer.completeExceptionally(failure);
                return null;
              });
      final CacheTransfer transfer = answer.orTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS).join();
      return transfer.getTokens() == 0 ? Optional.empty() : Optional.of(transfer);
    } catch (CompletionException e) {
      logger.atFine().log("no cache came from %s: %s", endpoint, e.getMessage());
      return Optional.empty();
    } finally {
      waiting.remove(chat);
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
    final CompletableFuture<CacheTransfer> answer =
        waiting.get(envelope.getCacheTransfer().getChat());
    if (answer != null) {
      answer.complete(envelope.getCacheTransfer());
    }
  }

  @Override
  public void closed(final PeerChannel channel) {
    // Whoever waits gives up after a while.
  }
}
