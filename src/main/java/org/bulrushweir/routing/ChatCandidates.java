package org.bulrushweir.routing;

import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.delivery.CandidateSource;

/**
 * Proposes endpoints for a request of a chat: first the endpoint that most likely has the chat
 * cached, then the least loaded ones. Each proposal uses the present state of the endpoints, since
 * a refusal may have updated their loads.
 */
public final class ChatCandidates implements CandidateSource {

  /** The number of endpoints that are proposed before any endpoint is proposed again. */
  private static final int MAX_FIRST_PROPOSALS = 7;

  /**
   * The number of proposals of endpoints that were already tried. By then the endpoints have each
   * other's new reports, so that the least loaded one admits the request as the least loaded.
   */
  private static final int MAX_REPEATED_PROPOSALS = 2;

  /** The hash of the chat. */
  private final long chat;

  /** The endpoint that sent the chat's last response, null if unknown. */
  private final EndpointId cacheHint;

  /** Supplies the pool with the present state of the endpoints. */
  private final Supplier<EndpointPool> pool;

  /** The number of proposals of endpoints that were not tried before. */
  private int firstProposals;

  /** The number of proposals of endpoints that were tried before. */
  private int repeatedProposals;

  /**
   * Creates the source of candidates for one request of a chat.
   *
   * @param chat the hash of the chat
   * @param cacheHint the endpoint that sent the chat's last response, null if unknown
   * @param pool supplies the pool with the present state of the endpoints
   */
  public ChatCandidates(
      final long chat, final EndpointId cacheHint, final Supplier<EndpointPool> pool) {
    this.chat = chat;
    this.cacheHint = cacheHint;
    this.pool = pool;
  }

  @Override
  public Optional<EndpointId> next(final Set<EndpointId> tried, final EndpointId movedTo) {
    final EndpointPool current = pool.get();
    if (firstProposals < MAX_FIRST_PROPOSALS) {
      final Optional<EndpointId> untried = untried(current, tried, movedTo);
      if (untried.isPresent()) {
        firstProposals++;
        return untried;
      }
    }
    if (repeatedProposals >= MAX_REPEATED_PROPOSALS) {
      return Optional.empty();
    }
    repeatedProposals++;
    return current.leastLoaded(chat, endpoint -> true);
  }

  private Optional<EndpointId> untried(
      final EndpointPool current, final Set<EndpointId> tried, final EndpointId movedTo) {
    if (movedTo != null && !tried.contains(movedTo)) {
      return current.selectForChat(chat, movedTo).filter(endpoint -> !tried.contains(endpoint));
    }
    if (tried.isEmpty()) {
      return current.selectForChat(chat, cacheHint);
    }
    return current.leastLoaded(chat, endpoint -> !tried.contains(endpoint));
  }

  @Override
  public Optional<EndpointId> cacheAt(final EndpointId endpoint) {
    if (cacheHint != null) {
      return cacheHint.equals(endpoint) ? Optional.empty() : Optional.of(cacheHint);
    }
    return pool.get().previousRingOwner(chat, endpoint);
  }
}
