package org.bulrushweir.replay;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.delivery.CandidateSource;
import org.bulrushweir.routing.EndpointPool;
import org.bulrushweir.routing.EndpointView;
import org.bulrushweir.routing.HashRing;

/** The ways of choosing endpoints that ours is compared with. */
final class Baselines {

  private Baselines() {}

  static ReplayPolicy random() {
    return new Baseline(
        "random", context -> shuffled(context.laggingViews().get(), context.random()));
  }

  /**
   * Takes endpoints in turn.
   *
   * @return the policy
   */
  static ReplayPolicy roundRobin() {
    final AtomicInteger counter = new AtomicInteger();
    return new Baseline(
        "round robin",
        context -> {
          final List<EndpointId> ids = ids(context.laggingViews().get());
          Collections.sort(ids);
          Collections.rotate(ids, -(counter.getAndIncrement() % ids.size()));
          return ids;
        });
  }

  /**
   * Takes the endpoint with the least load in the engines' own lagging reports.
   *
   * @return the policy
   */
  static ReplayPolicy leastLoaded() {
    return new Baseline(
        "least loaded by lagging reports",
        context -> {
          final List<EndpointView> views = context.laggingViews().get();
          views.sort(Comparator.comparingLong(EndpointView::load).thenComparing(EndpointView::id));
          return ids(views);
        });
  }

  /**
   * Takes the less loaded of two random endpoints, by the lagging reports.
   *
   * @return the policy
   */
  static ReplayPolicy powerOfTwo() {
    return new Baseline(
        "power of two choices",
        context -> byPowerOfTwo(context.laggingViews().get(), context.random()));
  }

  /**
   * Takes the endpoint that hashing assigns to the chat.
   *
   * @return the policy
   */
  static ReplayPolicy consistentHashing() {
    return new Baseline(
        "consistent hashing",
        context -> aroundTheRing(context.chat(), context.laggingViews().get()));
  }

  /**
   * Hashes, but passes over endpoints whose reported load exceeds the multiple of the mean; nothing
   * is enforced at the endpoint.
   *
   * @return the policy
   */
  static ReplayPolicy boundedLoadHashing() {
    return new Baseline(
        "bounded-load hashing without enforcement",
        context ->
            unloadedFirst(
                aroundTheRing(context.chat(), context.laggingViews().get()),
                context.laggingViews().get(),
                context.loadMultiple()));
  }

  /**
   * Lists all baselines.
   *
   * @return the policies
   */
  static List<ReplayPolicy> all() {
    return List.of(
        random(),
        roundRobin(),
        leastLoaded(),
        powerOfTwo(),
        consistentHashing(),
        boundedLoadHashing());
  }

  private static List<EndpointId> unloadedFirst(
      final List<EndpointId> order, final List<EndpointView> views, final double multiple) {
    final double mean = views.stream().mapToLong(EndpointView::load).average().orElse(0);
    final Set<EndpointId> loaded =
        views.stream()
            .filter(view -> view.load() > multiple * mean)
            .map(EndpointView::id)
            .collect(Collectors.toSet());
    final List<EndpointId> ids = new ArrayList<>(order);
    ids.sort(Comparator.comparing(loaded::contains));
    return ids;
  }

  private static List<EndpointId> byPowerOfTwo(
      final List<EndpointView> views, final RandomGenerator random) {
    final EndpointPool pool = EndpointPool.of(views);
    final List<EndpointId> ids = new ArrayList<>();
    while (ids.size() < views.size()) {
      ids.add(pool.selectForCall(random, endpoint -> !ids.contains(endpoint)).orElseThrow());
    }
    return ids;
  }

  private static List<EndpointId> aroundTheRing(final long chat, final List<EndpointView> views) {
    final HashRing ring = new HashRing(ids(views));
    final Set<EndpointId> order = new LinkedHashSet<>();
    int pointIndex = ring.pointIndex(chat);
    while (order.size() < views.size()) {
      order.add(ring.endpoints().get(ring.owner(pointIndex)));
      pointIndex = ring.next(pointIndex);
    }
    return List.copyOf(order);
  }

  private static List<EndpointId> ids(final List<EndpointView> views) {
    return new ArrayList<>(views.stream().map(EndpointView::id).toList());
  }

  private static List<EndpointId> shuffled(
      final List<EndpointView> views, final RandomGenerator random) {
    final List<EndpointId> ids = ids(views);
    for (int index = ids.size() - 1; index > 0; index--) {
      Collections.swap(ids, index, random.nextInt(index + 1));
    }
    return ids;
  }

  /**
   * A policy that orders endpoints when a request comes.
   *
   * @param name the policy's name
   * @param order orders the endpoints
   */
  private record Baseline(String name, Function<RouteContext, List<EndpointId>> order)
      implements ReplayPolicy {

    @Override
    public CandidateSource candidates(final RouteContext context) {
      final List<EndpointId> ordered = order.apply(context);
      return new CandidateSource() {
        @Override
        public Optional<EndpointId> next(final Set<EndpointId> tried, final EndpointId movedTo) {
          return ordered.stream().filter(endpoint -> !tried.contains(endpoint)).findFirst();
        }
      };
    }

    @Override
    public boolean enforced() {
      return false;
    }

    @Override
    public boolean hedged() {
      return false;
    }
  }
}
