package org.bulrushweir.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.delivery.CandidateSource;

/**
 * Proposes endpoints for a chat. Each proposal looks at the endpoints anew, since a refusal has
 * just told how loaded they are.
 */
public final class ChatCandidates implements CandidateSource {

  /** The chat's hash. */
  private final long chat;

  /** Where the chat's last answer came from, null if unknown. */
  private final EndpointId hint;

  /** Tells what is known of the endpoints. */
  private final Supplier<List<EndpointView>> views;

  /** The declared multiple of the mean load. */
  private final double loadMultiple;

  /**
   * Creates the source.
   *
   * @param chat the chat's hash
   * @param hint where the chat's last answer came from, null if unknown
   * @param views tells what is known of the endpoints
   * @param loadMultiple the declared multiple of the mean load
   */
  public ChatCandidates(
      final long chat,
      final EndpointId hint,
      final Supplier<List<EndpointView>> views,
      final double loadMultiple) {
    this.chat = chat;
    this.hint = hint;
    this.views = views;
    this.loadMultiple = loadMultiple;
  }

  @Override
  public Optional<EndpointId> next(final Set<EndpointId> tried, final EndpointId movedTo) {
    final EndpointId preferred = movedTo == null ? hint : movedTo;
    return EndpointRanking.forChat(chat, preferred, views.get(), loadMultiple).stream()
        .filter(endpoint -> !tried.contains(endpoint))
        .findFirst();
  }
}
