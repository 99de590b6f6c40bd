package org.bulrushweir.dispatch;

import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.bulrushweir.api.OrganisationId;

/** Estimates how long a request waits from what goes before it and from the drain rate. */
final class WaitEstimator {

  /** The time constant in which the arrivals of each rank are counted, in milliseconds. */
  private static final double ASKED_DECAY_MS = 2_000;

  /** The share of the drain rate that more urgent ranks are assumed to leave at least. */
  private static final double MIN_FREE_SHARE = 0.1;

  private final TreeMap<Integer, DecayingSum> askedByRank = new TreeMap<>();
  private final DispatchQueue queue;
  private final OrganisationLedger ledger;
  private final DrainRate drain;

  /**
   * Creates an estimator.
   *
   * @param queue the requests that wait
   * @param ledger the work that organisations ask for
   * @param drain the drain rate
   */
  WaitEstimator(final DispatchQueue queue, final OrganisationLedger ledger, final DrainRate drain) {
    this.queue = queue;
    this.ledger = ledger;
    this.drain = drain;
  }

  /**
   * Returns an independent copy.
   *
   * @param newQueue a copy of the queue
   * @param newLedger a copy of the ledger
   * @param newDrain a copy of the drain rate
   * @return the copy
   */
  WaitEstimator copy(
      final DispatchQueue newQueue, final OrganisationLedger newLedger, final DrainRate newDrain) {
    final WaitEstimator copy = new WaitEstimator(newQueue, newLedger, newDrain);
    askedByRank.forEach((rank, asked) -> copy.askedByRank.put(rank, asked.copy()));
    return copy;
  }

  /**
   * Records that a request has arrived.
   *
   * @param request the request
   * @param nowMs the current time, in Unix milliseconds
   */
  void recordDemand(final DispatchRequest request, final long nowMs) {
    askedByRank
        .computeIfAbsent(request.rank(), rank -> new DecayingSum(ASKED_DECAY_MS))
        .add(request.work(), nowMs);
  }

  /**
   * Returns whether less urgent requests arrive too.
   *
   * @param request a request
   * @param nowMs the current time, in Unix milliseconds
   * @return true if at least as much work was asked for in less urgent ranks recently
   */
  boolean isLessUrgentAskedFor(final DispatchRequest request, final long nowMs) {
    return askedByRank.tailMap(request.rank(), false).values().stream()
        .anyMatch(asked -> asked.at(nowMs) >= request.work());
  }

  /**
   * Returns the expected wait of a request.
   *
   * @param request the request
   * @param lineWork the work that goes before it in its own line
   * @param price the work done for an organisation relative to its share
   * @param slots the slots that this gateway may expect to use
   * @param nowMs the current time, in Unix milliseconds
   * @return the time in milliseconds, zero if the drain rate is unknown
   */
  long expectedWaitMs(
      final DispatchRequest request,
      final double lineWork,
      final ToDoubleFunction<Optional<OrganisationId>> price,
      final double slots,
      final long nowMs) {
    final double rate = drain.workPerMs(slots, nowMs);
    if (rate == 0 || queue.isEmpty()) {
      return 0;
    }
    final double free = Math.max(MIN_FREE_SHARE * rate, rate - urgentRate(request.rank(), nowMs));
    final double shortestMs = queue.workAhead(request, lineWork, price, organisation -> 0) / free;
    // What arrives meanwhile for organisations with less work done goes first as well.
    final double expected =
        queue.workAhead(
            request,
            lineWork,
            price,
            organisation -> ledger.askedPerMs(organisation, nowMs) * shortestMs);
    return Math.round(expected / free);
  }

  /** Returns the work of more urgent ranks that arrives per millisecond and goes first. */
  private double urgentRate(final int rank, final long nowMs) {
    return askedByRank.headMap(rank, false).values().stream()
            .mapToDouble(asked -> asked.at(nowMs))
            .sum()
        / ASKED_DECAY_MS;
  }
}
