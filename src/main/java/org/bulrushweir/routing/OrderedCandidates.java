package org.bulrushweir.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.delivery.CandidateSource;

/** Proposes endpoints in a fixed order, unless a chat is known to have moved. */
public final class OrderedCandidates implements CandidateSource {

  private final List<EndpointId> order;

  /**
   * Creates the source.
   *
   * @param order the endpoints, best first
   */
  public OrderedCandidates(final List<EndpointId> order) {
    this.order = List.copyOf(order);
  }

  @Override
  public Optional<EndpointId> next(final Set<EndpointId> tried, final EndpointId movedTo) {
    if (movedTo != null && order.contains(movedTo) && !tried.contains(movedTo)) {
      return Optional.of(movedTo);
    }
    return order.stream().filter(endpoint -> !tried.contains(endpoint)).findFirst();
  }
}
