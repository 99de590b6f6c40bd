package org.bulrushweir.routing;

import java.util.List;
import java.util.Optional;
import java.util.function.IntFunction;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.bulrushweir.api.EndpointId;

/**
 * Selects among the endpoints of a service, at routers that reach endpoints through sidecars;
 * gateways use {@code EndpointSelector}. Endpoints that would most likely refuse a request or
 * respond late come last, but none is excluded, because the endpoint itself decides about
 * admission.
 */
public final class EndpointPool {

  /** The uptime up to which an endpoint counts as new, in milliseconds. */
  private static final long NEW_ENDPOINT_MS = 600_000;

  /**
   * The uptime by which another endpoint must exceed that of a new one to count as older, in
   * milliseconds.
   */
  private static final long MIN_UPTIME_LEAD_MS = 1_000;

  /** The multiple of the median time per token above which an endpoint counts as slow. */
  private static final double SLOW_FACTOR = 2;

  /** The number of ring points per endpoint that are examined before the search ends. */
  private static final int STEPS_PER_ENDPOINT = 4;

  /** The expected quality of service of an endpoint, best first. */
  private enum Tier {
    GOOD,
    SLOW,
    SUSPECT
  }

  /** The consistent hash ring that assigns chats to endpoints. */
  private final HashRing ring;

  /** Supplies the present state of an endpoint by its index. */
  private final IntFunction<EndpointView> views;

  /** The median time per token of the endpoints, in microseconds, zero if unknown. */
  private final int medianPaceMicros;

  /**
   * Creates a pool.
   *
   * @param ring the consistent hash ring that assigns chats to endpoints
   * @param views supplies the present state of an endpoint by its index
   * @param medianPaceMicros the median time per token of the endpoints, in microseconds, zero if
   *     unknown
   */
  public EndpointPool(
      final HashRing ring, final IntFunction<EndpointView> views, final int medianPaceMicros) {
    this.ring = ring;
    this.views = views;
    this.medianPaceMicros = medianPaceMicros;
  }

  /**
   * Creates a pool of endpoints whose states are given.
   *
   * @param views the states of the endpoints
   * @return the pool
   */
  public static EndpointPool of(final List<EndpointView> views) {
    final HashRing ring = new HashRing(views.stream().map(EndpointView::id).toList());
    return new EndpointPool(ring, views::get, PaceMedian.of(views));
  }

  /**
   * Selects the endpoint that most likely has a chat cached among those that are neither slow nor
   * suspect. If there are none of these, the least loaded endpoint is selected.
   *
   * @param chat the hash of the chat
   * @param cacheHint the endpoint that is reported to have the chat cached, null if unknown
   * @return the endpoint, empty if the pool is empty
   */
  public Optional<EndpointId> selectForChat(final long chat, final EndpointId cacheHint) {
    if (cacheHint != null && isGood(cacheHint)) {
      return Optional.of(cacheHint);
    }
    final Optional<EndpointId> good = firstOnRing(chat, view -> tier(view) == Tier.GOOD);
    return good.isPresent() ? good : leastLoaded(chat, endpoint -> true);
  }

  private boolean isGood(final EndpointId endpoint) {
    final int index = ring.indexOf(endpoint);
    return index >= 0 && tier(views.apply(index)) == Tier.GOOD;
  }

  /** Returns the first endpoint that matches, clockwise on the ring from a chat's position. */
  private Optional<EndpointId> firstOnRing(final long chat, final Predicate<EndpointView> matches) {
    final int steps = STEPS_PER_ENDPOINT * ring.endpoints().size();
    int pointIndex = ring.pointIndex(chat);
    int last = -1;
    for (int count = 0; count < steps; count++) {
      final int owner = ring.owner(pointIndex);
      if (owner != last && matches.test(views.apply(owner))) {
        return Optional.of(ring.endpoints().get(owner));
      }
      last = owner;
      pointIndex = ring.next(pointIndex);
    }
    return Optional.empty();
  }

  /**
   * Selects the least loaded endpoint of the best quality of service that is available.
   *
   * @param chat the hash of the chat, which breaks ties between equal loads
   * @param allowed matches the endpoints that may be selected
   * @return the endpoint, empty if no endpoint may be selected
   */
  public Optional<EndpointId> leastLoaded(final long chat, final Predicate<EndpointId> allowed) {
    EndpointView best = null;
    for (int index = 0; index < ring.endpoints().size(); index++) {
      if (allowed.test(ring.endpoints().get(index))) {
        final EndpointView view = views.apply(index);
        best = best == null || isBetter(view, best, chat) ? view : best;
      }
    }
    return Optional.ofNullable(best).map(EndpointView::id);
  }

  private boolean isBetter(final EndpointView view, final EndpointView best, final long chat) {
    final int byTier = tier(view).compareTo(tier(best));
    if (byTier != 0) {
      return byTier < 0;
    }
    if (view.load() != best.load()) {
      return view.load() < best.load();
    }
    return BitMixer.mix(chat ^ view.key()) > BitMixer.mix(chat ^ best.key());
  }

  /**
   * Finds the endpoint that the ring assigns to a chat, whatever its state.
   *
   * @param chat the hash of the chat
   * @return the endpoint, empty if the pool is empty
   */
  public Optional<EndpointId> ringOwner(final long chat) {
    return firstOnRing(chat, view -> true);
  }

  /**
   * Finds the endpoint to which the ring assigned a chat before a new endpoint joined.
   *
   * @param chat the hash of the chat
   * @param endpoint the endpoint to which the ring assigns the chat now
   * @return the next endpoint on the ring that is older than the present one, empty if the present
   *     one is not new or not on the ring, or if no older one is found
   */
  public Optional<EndpointId> previousRingOwner(final long chat, final EndpointId endpoint) {
    final int index = ring.indexOf(endpoint);
    final long uptimeMs = index < 0 ? Long.MAX_VALUE : views.apply(index).uptimeMs();
    if (uptimeMs >= NEW_ENDPOINT_MS) {
      return Optional.empty();
    }
    return firstOnRing(chat, view -> view.uptimeMs() > uptimeMs + MIN_UPTIME_LEAD_MS);
  }

  /**
   * Selects an endpoint for a call, which belongs to no chat: the better one of two random
   * endpoints.
   *
   * @param random the source of random numbers
   * @param allowed matches the endpoints that may be selected
   * @return the endpoint, empty if no endpoint may be selected
   */
  public Optional<EndpointId> selectForCall(
      final RandomGenerator random, final Predicate<EndpointId> allowed) {
    final int first = drawAllowed(random, allowed);
    if (first < 0) {
      return Optional.empty();
    }
    final EndpointView one = views.apply(first);
    final EndpointView other = views.apply(drawAllowed(random, allowed));
    return Optional.of(isBetter(other, one, 0) ? other.id() : one.id());
  }

  /**
   * Draws the index of a random allowed endpoint, negative if there is none. If the drawn endpoint
   * is not allowed, the next allowed one by index is returned.
   */
  private int drawAllowed(final RandomGenerator random, final Predicate<EndpointId> allowed) {
    final int size = ring.endpoints().size();
    final int start = size == 0 ? 0 : random.nextInt(size);
    for (int count = 0; count < size; count++) {
      final int index = (start + count) % size;
      if (allowed.test(ring.endpoints().get(index))) {
        return index;
      }
    }
    return -1;
  }

  private Tier tier(final EndpointView view) {
    if (view.suspect()) {
      return Tier.SUSPECT;
    }
    final boolean slow =
        medianPaceMicros > 0
            && PaceMedian.hasRecentPace(view)
            && view.paceMicros() > SLOW_FACTOR * medianPaceMicros;
    return slow ? Tier.SLOW : Tier.GOOD;
  }
}
