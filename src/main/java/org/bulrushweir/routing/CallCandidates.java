package org.bulrushweir.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.delivery.CandidateSource;

/** Proposes endpoints for a call that belongs to no chat. */
public final class CallCandidates implements CandidateSource {

  /** Tells what is known of the endpoints. */
  private final Supplier<List<EndpointView>> views;

  /** Picks among the endpoints. */
  private final RandomGenerator random;

  /**
   * Creates the source.
   *
   * @param views tells what is known of the endpoints
   * @param random picks among the endpoints
   */
  public CallCandidates(final Supplier<List<EndpointView>> views, final RandomGenerator random) {
    this.views = views;
    this.random = random;
  }

  @Override
  public Optional<EndpointId> next(final Set<EndpointId> tried, final EndpointId movedTo) {
    return EndpointRanking.forCall(views.get(), random).stream()
        .filter(endpoint -> !tried.contains(endpoint))
        .findFirst();
  }
}
