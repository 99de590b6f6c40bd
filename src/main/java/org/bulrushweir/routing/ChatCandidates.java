package org.bulrushweir.routing;

import java.util.List;
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
  private final Supplier<List<EndpointView>> views;

  /** How many endpoints were proposed for the first time. */
  private int firstProposals;

  /** How many endpoints were proposed again. */
  private int secondProposals;

  /**
   * Creates the source.
   *
   * @param chat the chat's hash
   * @param hint where the chat's last answer came from, null if unknown
   * @param views tells what is known of the endpoints
   */
  public ChatCandidates(
      final long chat, final EndpointId hint, final Supplier<List<EndpointView>> views) {
    this.chat = chat;
    this.hint = hint;
    this.views = views;
  }

  @Override
  public Optional<EndpointId> next(final Set<EndpointId> tried, final EndpointId movedTo) {
    final List<EndpointView> now = views.get();
    final boolean affinity = tried.isEmpty() || movedTo != null && !tried.contains(movedTo);
    final List<EndpointId> order =
        affinity
            ? EndpointRanking.forChat(chat, movedTo == null ? hint : movedTo, now)
            : EndpointRanking.byLoad(chat, now);
    if (firstProposals < FIRST_PASS) {
      final Optional<EndpointId> untried =
          order.stream().filter(endpoint -> !tried.contains(endpoint)).findFirst();
      if (untried.isPresent()) {
        firstProposals++;
        return untried;
      }
    }
    return again(order);
  }

  private Optional<EndpointId> again(final List<EndpointId> order) {
    if (secondProposals >= SECOND_PASS) {
      return Optional.empty();
    }
    secondProposals++;
    return order.stream().findFirst();
  }

  @Override
  public Optional<EndpointId> cacheAt(final EndpointId endpoint) {
    if (hint != null) {
      return hint.equals(endpoint) ? Optional.empty() : Optional.of(hint);
    }
    return EndpointRanking.formerHome(chat, endpoint, views.get());
  }
}
