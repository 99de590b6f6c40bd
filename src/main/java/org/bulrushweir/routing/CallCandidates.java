package org.bulrushweir.routing;

import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.delivery.CandidateSource;

/** Proposes endpoints for a call, which belongs to no chat. */
public final class CallCandidates implements CandidateSource {

  /** Supplies the pool with the present state of the endpoints. */
  private final Supplier<EndpointPool> pool;

  /** The source of random numbers for the choice among the endpoints. */
  private final RandomGenerator random;

  /**
   * Creates the source of candidates for one call.
   *
   * @param pool supplies the pool with the present state of the endpoints
   * @param random the source of random numbers for the choice among the endpoints
   */
  public CallCandidates(final Supplier<EndpointPool> pool, final RandomGenerator random) {
    this.pool = pool;
    this.random = random;
  }

  @Override
  public Optional<EndpointId> next(final Set<EndpointId> tried, final EndpointId movedTo) {
    return pool.get().selectForCall(random, endpoint -> !tried.contains(endpoint));
  }
}
