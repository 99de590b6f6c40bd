package org.bulrushweir.routing;

import java.util.List;
import java.util.Optional;
import java.util.function.IntFunction;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.bulrushweir.api.EndpointId;

/**
 * Chooses among the endpoints of a service. Endpoints that most likely would refuse a request or
 * answer late are chosen last, but none is left out: the endpoint itself decides.
 */
public final class EndpointPool {

  /** For how long after its start an endpoint is young, in milliseconds. */
  private static final long YOUNG_MS = 600_000;

  /** By how much longer an endpoint must have run to count as older, in milliseconds. */
  private static final long OLDER_BY_MS = 1_000;

  /** From which multiple of the median pace on an endpoint counts as slow. */
  private static final double SLOW_FACTOR = 2;

  /** How many positions of the ring are looked at for each endpoint before giving up. */
  private static final int STEPS_PER_ENDPOINT = 4;

  /** How likely an endpoint serves a request well; the lesser the better. */
  private enum Tier {
    GOOD,
    SLOW,
    SUSPECT
  }

  /** Assigns chats to endpoints. */
  private final HashRing ring;

  /** Tells what is known of an endpoint now. */
  private final IntFunction<EndpointView> views;

  /** The median time per token of the endpoints, in microseconds, zero if unknown. */
  private final int medianPaceMicros;

  /**
   * Creates a pool.
   *
   * @param ring assigns chats to endpoints
   * @param views tells what is known of an endpoint now, by its index
   * @param medianPaceMicros the median time per token, in microseconds, zero if unknown
   */
  public EndpointPool(
      final HashRing ring, final IntFunction<EndpointView> views, final int medianPaceMicros) {
    this.ring = ring;
    this.views = views;
    this.medianPaceMicros = medianPaceMicros;
  }

  /**
   * Creates a pool of endpoints of which all is known.
   *
   * @param views the endpoints
   * @return the pool
   */
  public static EndpointPool of(final List<EndpointView> views) {
    final HashRing ring = new HashRing(views.stream().map(EndpointView::id).toList());
    return new EndpointPool(ring, views::get, PaceMedian.of(views));
  }

  /**
   * Chooses the endpoint that most likely has a chat's cache, of those that serve well.
   *
   * @param chat the chat's hash
   * @param preferred where the cache is said to be, null if unknown
   * @return the endpoint, empty if the pool is empty
   */
  public Optional<EndpointId> selectForChat(final long chat, final EndpointId preferred) {
    if (preferred != null && isGood(preferred)) {
      return Optional.of(preferred);
    }
    final Optional<EndpointId> good = walk(chat, view -> tier(view) == Tier.GOOD);
    return good.isPresent() ? good : leastLoaded(chat, endpoint -> true);
  }

  private boolean isGood(final EndpointId endpoint) {
    final int index = ring.indexOf(endpoint);
    return index >= 0 && tier(views.apply(index)) == Tier.GOOD;
  }

  /** Walks around the ring from a chat's position to the first endpoint that fits. */
  private Optional<EndpointId> walk(final long chat, final Predicate<EndpointView> fits) {
    final int steps = STEPS_PER_ENDPOINT * ring.endpoints().size();
    int position = ring.position(chat);
    int last = -1;
    for (int count = 0; count < steps; count++) {
      final int owner = ring.owner(position);
      if (owner != last && fits.test(views.apply(owner))) {
        return Optional.of(ring.endpoints().get(owner));
      }
      last = owner;
      position = ring.next(position);
    }
    return Optional.empty();
  }

  /**
   * Chooses the endpoint that carries the least, of those that serve as well as any.
   *
   * @param chat the chat's hash, which decides among equals
   * @param allowed tells which endpoints may be chosen
   * @return the endpoint, empty if none may be chosen
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
   * Finds the endpoint that hashing assigns to a chat, whatever its state.
   *
   * @param chat the chat's hash
   * @return the chat's home, empty if the pool is empty
   */
  public Optional<EndpointId> ringOwner(final long chat) {
    return walk(chat, view -> true);
  }

  /**
   * Finds the endpoint that was the home of a chat before a young one joined.
   *
   * @param chat the chat's hash
   * @param endpoint the chat's home now
   * @return the former home, empty if the present one is not young or the only one
   */
  public Optional<EndpointId> previousRingOwner(final long chat, final EndpointId endpoint) {
    final int index = ring.indexOf(endpoint);
    final long lifeMs = index < 0 ? Long.MAX_VALUE : views.apply(index).uptimeMs();
    if (lifeMs >= YOUNG_MS) {
      return Optional.empty();
    }
    return walk(chat, view -> view.uptimeMs() > lifeMs + OLDER_BY_MS);
  }

  /**
   * Chooses an endpoint for a call that belongs to no chat: the better of two random ones.
   *
   * @param random draws the endpoints
   * @param allowed tells which endpoints may be chosen
   * @return the endpoint, empty if none may be chosen
   */
  public Optional<EndpointId> selectForCall(
      final RandomGenerator random, final Predicate<EndpointId> allowed) {
    final int first = draw(random, allowed);
    if (first < 0) {
      return Optional.empty();
    }
    final EndpointView one = views.apply(first);
    final EndpointView other = views.apply(draw(random, allowed));
    return Optional.of(isBetter(other, one, 0) ? other.id() : one.id());
  }

  /** Draws an endpoint; one that is not allowed passes the draw on to the next one. */
  private int draw(final RandomGenerator random, final Predicate<EndpointId> allowed) {
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
            && PaceMedian.tellsPace(view)
            && view.paceMicros() > SLOW_FACTOR * medianPaceMicros;
    return slow ? Tier.SLOW : Tier.GOOD;
  }
}
