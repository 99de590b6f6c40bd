package org.bulrushweir.routing;

import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.delivery.CandidateSource;

/**
 * Proposes endpoints for a chat: first the one that most likely has its cache, then those that
 * carry the least. Each proposal looks at the endpoints anew, since a refusal has just told how
 * loaded they are.
 */
public final class ChatCandidates implements CandidateSource {

  /** How many endpoints are proposed before any is proposed again. */
  private static final int FIRST_PASS = 7;

  /**
   * How often endpoints are proposed again. By then the reports of those that have refused are
   * fresh, so that the one that carries the least knows that it does.
   */
  private static final int SECOND_PASS = 2;

  /** The chat's hash. */
  private final long chat;

  /** Where the chat's last answer came from, null if unknown. */
  private final EndpointId hint;

  /** Tells what is known of the endpoints. */
  private final Supplier<EndpointPool> pool;

  /** How many endpoints were proposed for the first time. */
  private int firstProposals;

  /** How many endpoints were proposed again. */
  private int secondProposals;

  /**
   * Creates the source.
   *
   * @param chat the chat's hash
   * @param hint where the chat's last answer came from, null if unknown
   * @param pool tells what is known of the endpoints
   */
  public ChatCandidates(final long chat, final EndpointId hint, final Supplier<EndpointPool> pool) {
    this.chat = chat;
    this.hint = hint;
    this.pool = pool;
  }

  @Override
  public Optional<EndpointId> next(final Set<EndpointId> tried, final EndpointId movedTo) {
    final EndpointPool now = pool.get();
    if (firstProposals < FIRST_PASS) {
      final Optional<EndpointId> untried = untried(now, tried, movedTo);
      if (untried.isPresent()) {
        firstProposals++;
        return untried;
      }
    }
    if (secondProposals >= SECOND_PASS) {
      return Optional.empty();
    }
    secondProposals++;
    return now.leastLoaded(chat, endpoint -> true);
  }

  private Optional<EndpointId> untried(
      final EndpointPool now, final Set<EndpointId> tried, final EndpointId movedTo) {
    if (movedTo != null && !tried.contains(movedTo)) {
      return now.selectForChat(chat, movedTo).filter(endpoint -> !tried.contains(endpoint));
    }
    if (tried.isEmpty()) {
      return now.selectForChat(chat, hint);
    }
    return now.leastLoaded(chat, endpoint -> !tried.contains(endpoint));
  }

  @Override
  public Optional<EndpointId> cacheAt(final EndpointId endpoint) {
    if (hint != null) {
      return hint.equals(endpoint) ? Optional.empty() : Optional.of(hint);
    }
    return pool.get().previousRingOwner(chat, endpoint);
  }
}
