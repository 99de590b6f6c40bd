package org.bulrushweir.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import org.bulrushweir.api.OrganisationId;

/**
 * The requests that wait for the endpoints of a service, ordered by rank, then by whether they can
 * still meet their latency objective, then by the work done for their organisation, then by the
 * time left to that objective.
 */
final class DispatchQueue {

  private static final Comparator<WaitingRequest> ORDER =
      Comparator.comparingLong((WaitingRequest waiting) -> waiting.request().orderMs())
          .thenComparingLong(waiting -> waiting.request().number());

  private final TreeMap<Integer, Map<Optional<OrganisationId>, Line>> ranks = new TreeMap<>();
  private int size;

  int size() {
    return size;
  }

  boolean isEmpty() {
    return size == 0;
  }

  /** Returns an independent copy. */
  DispatchQueue copy() {
    final DispatchQueue copy = new DispatchQueue();
    lines().forEach(line -> line.forEach(copy::add));
    return copy;
  }

  /**
   * Adds a request.
   *
   * @param waiting the request
   */
  void add(final WaitingRequest waiting) {
    final DispatchRequest request = waiting.request();
    ranks
        .computeIfAbsent(request.rank(), rank -> new HashMap<>())
        .computeIfAbsent(request.organisation(), organisation -> new Line())
        .add(waiting);
    size++;
  }

  /**
   * Removes a request.
   *
   * @param waiting the request
   * @return false if it does not wait
   */
  boolean remove(final WaitingRequest waiting) {
    final DispatchRequest request = waiting.request();
    final Map<Optional<OrganisationId>, Line> lines = ranks.getOrDefault(request.rank(), Map.of());
    final Line line = lines.get(request.organisation());
    if (line == null || !line.remove(waiting)) {
      return false;
    }
    size--;
    if (line.requests.isEmpty()) {
      lines.remove(request.organisation());
    }
    if (lines.isEmpty()) {
      ranks.remove(request.rank());
    }
    return true;
  }

  /**
   * Returns the request whose turn is next. In the most urgent rank that waits, requests that can
   * still meet their latency objective go before those that can't: otherwise, while capacity is
   * short, each request would wait until it is late.
   *
   * @param price the work done for an organisation relative to its share
   * @param meanMs the mean duration of a request, in milliseconds
   * @param nowMs the current time, in Unix milliseconds
   * @return the request, empty if none waits
   */
  Optional<WaitingRequest> first(
      final ToDoubleFunction<Optional<OrganisationId>> price,
      final double meanMs,
      final long nowMs) {
    if (ranks.isEmpty()) {
      return Optional.empty();
    }
    final Map<Optional<OrganisationId>, Line> lines = ranks.firstEntry().getValue();
    return cheapest(lines, price, line -> line.firstInTime(meanMs, nowMs))
        .or(() -> cheapest(lines, price, line -> Optional.of(line.requests.first())));
  }

  /** Returns the request of the organisation with the lowest price, empty if no line has one. */
  private static Optional<WaitingRequest> cheapest(
      final Map<Optional<OrganisationId>, Line> lines,
      final ToDoubleFunction<Optional<OrganisationId>> price,
      final Function<Line, Optional<WaitingRequest>> head) {
    return lines.values().stream()
        .flatMap(line -> head.apply(line).stream())
        .min(
            Comparator.comparingDouble(
                    (WaitingRequest waiting) ->
                        price.applyAsDouble(waiting.request().organisation()))
                .thenComparing(ORDER));
  }

  /**
   * Returns the request that is served last: the last one of the organisation with the most waiting
   * work in the least urgent rank.
   *
   * @return the request, empty if none waits
   */
  Optional<WaitingRequest> last() {
    if (ranks.isEmpty()) {
      return Optional.empty();
    }
    return ranks.lastEntry().getValue().values().stream()
        .max(Comparator.comparingDouble(line -> line.work))
        .map(line -> line.requests.last());
  }

  /**
   * Returns the requests of each organisation and rank in their order.
   *
   * @return copies of the lines
   */
  List<List<WaitingRequest>> lines() {
    return ranks.values().stream()
        .flatMap(lines -> lines.values().stream())
        .map(line -> List.copyOf(line.requests))
        .toList();
  }

  /**
   * Returns whether a request of the same or of a more urgent rank waits.
   *
   * @param rank the rank
   * @return true if one waits
   */
  boolean hasUpTo(final int rank) {
    return !ranks.isEmpty() && ranks.firstKey() <= rank;
  }

  /**
   * Returns the work that goes before a request of an organisation: that of more urgent ranks, and
   * that of each organisation of its rank until it has had as much work done.
   *
   * @param request the request
   * @param lineWork the work that goes before it in its own line
   * @param price the work done for an organisation relative to its share
   * @param arriving the work of an organisation that is expected to arrive in the meantime
   * @return the work
   */
  double workAhead(
      final DispatchRequest request,
      final double lineWork,
      final ToDoubleFunction<Optional<OrganisationId>> price,
      final ToDoubleFunction<Optional<OrganisationId>> arriving) {
    double ahead = lineWork;
    final SortedMap<Integer, Map<Optional<OrganisationId>, Line>> upTo =
        ranks.headMap(request.rank(), true);
    final double ownPrice = price.applyAsDouble(request.organisation());
    for (final Map.Entry<Integer, Map<Optional<OrganisationId>, Line>> rank : upTo.entrySet()) {
      for (final Map.Entry<Optional<OrganisationId>, Line> line : rank.getValue().entrySet()) {
        if (rank.getKey() < request.rank()) {
          ahead += line.getValue().work;
        } else if (!line.getKey().equals(request.organisation())) {
          final double lead = ownPrice + lineWork - price.applyAsDouble(line.getKey());
          final double most = line.getValue().work + arriving.applyAsDouble(line.getKey());
          ahead += Math.clamp(lead, 0, Math.max(0, most));
        }
      }
    }
    return ahead;
  }

  /**
   * Returns the work that goes before a request in the line of its organisation and rank.
   *
   * @param request the request, which does not wait yet
   * @return the work
   */
  double lineWork(final DispatchRequest request) {
    final Line line = ranks.getOrDefault(request.rank(), Map.of()).get(request.organisation());
    if (line == null) {
      return 0;
    }
    double work = 0;
    for (final WaitingRequest waiting :
        line.requests.headSet(new WaitingRequest(request, 0, 0), true)) {
      work += waiting.request().work();
    }
    return work;
  }

  /**
   * Returns the number of requests by rank.
   *
   * @return the numbers, the most urgent rank first
   */
  SortedMap<Integer, Integer> countByRank() {
    final SortedMap<Integer, Integer> counts = new TreeMap<>();
    ranks.forEach(
        (rank, lines) ->
            counts.put(rank, lines.values().stream().mapToInt(line -> line.requests.size()).sum()));
    return counts;
  }

  /** The requests of one organisation and rank. */
  private static final class Line {
    private final TreeSet<WaitingRequest> requests = new TreeSet<>(ORDER);
    private double work;

    void add(final WaitingRequest waiting) {
      requests.add(waiting);
      work += waiting.request().work();
    }

    Optional<WaitingRequest> firstInTime(final double meanMs, final long nowMs) {
      return requests.stream()
          .filter(waiting -> nowMs <= waiting.request().inTimeUntilMs(meanMs))
          .findFirst();
    }

    boolean remove(final WaitingRequest waiting) {
      if (!requests.remove(waiting)) {
        return false;
      }
      work -= waiting.request().work();
      return true;
    }
  }
}
