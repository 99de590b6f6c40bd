package org.bulrushweir.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.OrganisationId;

/**
 * Holds the requests for one service that wait at a gateway, and decides which one is sent next.
 * Not thread-safe; the caller confines it to one thread.
 */
public final class ServiceDispatcher {

  /** The greatest number of waiting requests, which hold their bodies in memory. */
  static final int MAX_WAITING = 256;

  /**
   * The time for which a less urgent request counts as just sent, in milliseconds: the duration of
   * a request of a plain service.
   */
  private static final long RECENTLY_SENT_MS = 100;

  /** The duration that is assumed before the first completion, in milliseconds. */
  private static final double DEFAULT_MEAN_MS = 50;

  /** The period without requests after which a service is not reported, in milliseconds. */
  private static final long ACTIVE_MS = 2_000;

  /** The time by which urgent requests may be ahead of their interval, in milliseconds. */
  private static final long MAX_AHEAD_MS = 300;

  private final DispatchQueue queue;
  private final OrganisationLedger ledger;
  private final DrainRate drain;
  private final PeerDemands peers;
  private final WaitEstimator estimator;
  private final TreeMap<Integer, Long> sentMsByRank;
  private final DispatchPolicy policy;
  private Optional<Rejection> displaced = Optional.empty();
  private long lastRequestMs = -ACTIVE_MS;
  private double nextMs;

  /**
   * Creates a dispatcher without requests.
   *
   * @param policy decides on each request
   */
  public ServiceDispatcher(final DispatchPolicy policy) {
    this.policy = policy;
    this.queue = new DispatchQueue();
    this.ledger = new OrganisationLedger();
    this.drain = new DrainRate();
    this.peers = new PeerDemands();
    this.estimator = new WaitEstimator(queue, ledger, drain);
    this.sentMsByRank = new TreeMap<>();
  }

  /** Creates an independent copy. */
  private ServiceDispatcher(final ServiceDispatcher original) {
    this.policy = original.policy;
    this.queue = original.queue.copy();
    this.ledger = original.ledger.copy();
    this.drain = original.drain.copy();
    this.peers = original.peers.copy();
    this.estimator = original.estimator.copy(queue, ledger, drain);
    this.sentMsByRank = new TreeMap<>(original.sentMsByRank);
    this.nextMs = original.nextMs;
  }

  /**
   * A request that waited and is rejected.
   *
   * @param waiting the request
   * @param decision its rejection
   */
  public record Rejection(WaitingRequest waiting, DispatchDecision.Reject decision) {}

  /**
   * Decides on a request that has arrived, and adds it to the queue if it waits.
   *
   * @param request the request
   * @param load the load of the service
   * @param nowMs the current time, in Unix milliseconds
   * @return the decision; a request that it displaces is returned by {@link #takeDisplaced}
   */
  public DispatchDecision offer(
      final DispatchRequest request, final ServiceLoad load, final long nowMs) {
    lastRequestMs = nowMs;
    estimator.recordDemand(request, nowMs);
    ledger.recordDemand(request.organisation(), request.work(), nowMs);
    final ToDoubleFunction<Optional<OrganisationId>> price = prices(nowMs);
    final Outlook outlook = outlook(request, queue.lineWork(request), price, load, nowMs);
    final DispatchDecision decision = policy.decide(request, load, outlook, nowMs);
    return switch (decision) {
      case DispatchDecision.SendNow send -> {
        recordSent(request, load, nowMs);
        yield send;
      }
      case DispatchDecision.Wait wait -> {
        if (queue.size() >= MAX_WAITING && !displaceFor(request, load, outlook, nowMs)) {
          yield policy.reject(
              RejectionReason.QUEUE_FULL, request, load, outlook, outlook.waitMs(), nowMs);
        }
        queue.add(new WaitingRequest(request, nowMs, wait.estimatedMs()));
        yield wait;
      }
      case DispatchDecision.Reject reject -> reject;
    };
  }

  /**
   * Tells what would be decided on a request that arrived now, by offering it to a copy: a decision
   * itself records demand and refreshes sums that later decisions use.
   *
   * @param request the request
   * @param load the load of the service
   * @param nowMs the current time, in Unix milliseconds
   * @return the decision
   */
  public DispatchDecision preview(
      final DispatchRequest request, final ServiceLoad load, final long nowMs) {
    return new ServiceDispatcher(this).offer(request, load, nowMs);
  }

  private Outlook outlook(
      final DispatchRequest request,
      final double lineWork,
      final ToDoubleFunction<Optional<OrganisationId>> price,
      final ServiceLoad load,
      final long nowMs) {
    return new Outlook(
        hasRoom(request, load, nowMs),
        queue.hasUpTo(request.rank()),
        peers.isMoreUrgentWaiting(request.rank(), nowMs),
        isPassedByLessUrgent(request, nowMs),
        estimator.expectedWaitMs(request, lineWork, price, slots(load, nowMs), nowMs),
        drain.meanMs());
  }

  private boolean isPassedByLessUrgent(final DispatchRequest request, final long nowMs) {
    return sentMsByRank.tailMap(request.rank(), false).values().stream()
        .anyMatch(sentMs -> nowMs - sentMs < RECENTLY_SENT_MS);
  }

  private boolean hasRoom(final DispatchRequest request, final ServiceLoad load, final long nowMs) {
    final boolean urgent =
        nextMs < nowMs + MAX_AHEAD_MS && estimator.isLessUrgentAskedFor(request, nowMs);
    return policy.hasRoom(load, demandShare(load, nowMs), nowMs >= nextMs, urgent);
  }

  /** Returns the slots that this gateway may expect to use. */
  private double slots(final ServiceLoad load, final long nowMs) {
    final int places = load.room().places();
    return Math.max(load.ownPart(places), demandShare(load, nowMs) * places);
  }

  private double demandShare(final ServiceLoad load, final long nowMs) {
    final double own = 1.0 + load.ownInFlight() + queue.size();
    return own / (own + load.peersInFlight() + peers.waiting(nowMs));
  }

  /** Makes room in a full queue; returns false if the request goes after all that wait. */
  private boolean displaceFor(
      final DispatchRequest request,
      final ServiceLoad load,
      final Outlook outlook,
      final long nowMs) {
    final WaitingRequest last = queue.last().orElseThrow();
    final boolean before =
        last.request().rank() > request.rank()
            || last.request().rank() == request.rank()
                && queue.lineWork(request) + request.work() < queue.lineWork(last.request());
    if (!before) {
      return false;
    }
    queue.remove(last);
    displaced =
        Optional.of(
            new Rejection(
                last,
                policy.reject(
                    RejectionReason.QUEUE_FULL,
                    last.request(),
                    load,
                    outlook,
                    outlook.waitMs(),
                    nowMs)));
    return true;
  }

  /**
   * Returns and clears the request that the last offered one has displaced from a full queue.
   *
   * @return its rejection, empty if there is none
   */
  public Optional<Rejection> takeDisplaced() {
    final Optional<Rejection> taken = displaced;
    displaced = Optional.empty();
    return taken;
  }

  private ToDoubleFunction<Optional<OrganisationId>> prices(final long nowMs) {
    final Map<Optional<OrganisationId>, Double> prices = new HashMap<>();
    return organisation ->
        prices.computeIfAbsent(
            organisation,
            key -> (ledger.done(key, nowMs) + peers.work(key, nowMs)) / ledger.weight(key, nowMs));
  }

  private void recordSent(final DispatchRequest request, final ServiceLoad load, final long nowMs) {
    final boolean ahead = !policy.hasRoom(load, demandShare(load, nowMs), nowMs >= nextMs, false);
    final double aheadMs = ahead ? Math.clamp(nextMs - nowMs, 0, MAX_AHEAD_MS) : 0;
    nextMs = nowMs + aheadMs + policy.intervalMs(load, drain.meanMs());
    sentMsByRank.put(request.rank(), nowMs);
    ledger.recordDone(request.organisation(), request.work(), nowMs);
  }

  /**
   * Takes the next request out of the queue if it may be sent.
   *
   * @param load the load of the service
   * @param nowMs the current time, in Unix milliseconds
   * @return the request, empty if none waits or all have to wait on
   */
  public Optional<WaitingRequest> next(final ServiceLoad load, final long nowMs) {
    if (queue.isEmpty()) {
      return Optional.empty();
    }
    final WaitingRequest first = queue.first(prices(nowMs), drain.meanMs(), nowMs).orElseThrow();
    final DispatchRequest request = first.request();
    if (!hasRoom(request, load, nowMs)) {
      return Optional.empty();
    }
    final boolean behindPeers = peers.isMoreUrgentWaiting(request.rank(), nowMs);
    if (policy.yields(request, first.queuedMs(), behindPeers, load, nowMs)) {
      return Optional.empty();
    }
    queue.remove(first);
    recordSent(request, load, nowMs);
    return Optional.of(first);
  }

  /**
   * Takes the requests out of the queue that can't be served in time any more.
   *
   * @param load the load of the service
   * @param nowMs the current time, in Unix milliseconds
   * @return their rejections
   */
  public List<Rejection> rejectLate(final ServiceLoad load, final long nowMs) {
    final List<Rejection> rejections = new ArrayList<>();
    final ToDoubleFunction<Optional<OrganisationId>> price = prices(nowMs);
    for (final List<WaitingRequest> line : queue.lines()) {
      double lineWork = 0;
      for (final WaitingRequest waiting : line) {
        final DispatchRequest request = waiting.request();
        final Outlook outlook =
            new Outlook(
                false,
                true,
                false,
                isPassedByLessUrgent(request, nowMs),
                estimator.expectedWaitMs(request, lineWork, price, slots(load, nowMs), nowMs),
                drain.meanMs());
        final boolean expired = nowMs >= policy.latestStartMs(request, outlook.meanMs());
        final boolean hopeless =
            policy.isTooLate(request, outlook.waitMs(), outlook, nowMs)
                && load.isHalfTaken()
                && !outlook.passedByLessUrgent();
        if (expired || hopeless) {
          queue.remove(waiting);
          rejections.add(
              new Rejection(
                  waiting,
                  policy.reject(
                      expired ? RejectionReason.EXPIRED : RejectionReason.OVERTAKEN,
                      request,
                      load,
                      outlook,
                      outlook.waitMs(),
                      nowMs)));
        } else {
          lineWork += request.work();
        }
      }
    }
    return rejections;
  }

  /**
   * Removes a waiting request whose caller has left.
   *
   * @param request the request
   */
  public void remove(final DispatchRequest request) {
    queue.remove(new WaitingRequest(request, 0, 0));
  }

  /**
   * Records that a request which was taken or sent did not reach any endpoint.
   *
   * @param request the request
   * @param nowMs the current time, in Unix milliseconds
   */
  public void recordUnsent(final DispatchRequest request, final long nowMs) {
    ledger.recordDone(request.organisation(), -request.work(), nowMs);
  }

  /**
   * Records that a request has been answered.
   *
   * @param request the request
   * @param timed whether its work is its duration
   * @param durationMs the time since it was sent, in milliseconds
   * @param nowMs the current time, in Unix milliseconds
   */
  public void recordCompletion(
      final DispatchRequest request, final boolean timed, final long durationMs, final long nowMs) {
    drain.recordCompletion(request.work(), durationMs, nowMs);
    if (timed) {
      ledger.recordDone(request.organisation(), durationMs - request.work(), nowMs);
    }
  }

  /**
   * Returns the expected duration of a request.
   *
   * @return the time in milliseconds
   */
  public double expectedMs() {
    return drain.meanMs() == 0 ? DEFAULT_MEAN_MS : drain.meanMs();
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return the number
   */
  public int waiting() {
    return queue.size();
  }

  /**
   * Returns the number of gateways that send requests to the service.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the number, this gateway included
   */
  public int gateways(final long nowMs) {
    return 1 + peers.senders(nowMs);
  }

  /**
   * Records what a peer reports.
   *
   * @param peer the peer
   * @param demand its demand
   * @param nowMs the current time, in Unix milliseconds
   */
  public void recordPeer(final NodeId peer, final PeerDemand demand, final long nowMs) {
    peers.update(peer, demand, nowMs);
  }

  /**
   * Returns what this gateway reports to its peers.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the demand, empty if there was no request for some time
   */
  public Optional<PeerDemand> demand(final long nowMs) {
    if (queue.isEmpty() && nowMs - lastRequestMs > ACTIVE_MS) {
      return Optional.empty();
    }
    final SortedMap<Integer, Integer> counts = queue.countByRank();
    final List<Integer> waiting = new ArrayList<>();
    if (!counts.isEmpty()) {
      final int ranks = Math.min(PeerDemand.MAX_RANKS, counts.lastKey() + 1);
      for (int rank = 0; rank < ranks; rank++) {
        waiting.add(counts.getOrDefault(rank, 0));
      }
    }
    final Map<OrganisationId, Double> work = new LinkedHashMap<>();
    ledger
        .largest(PeerDemand.MAX_ORGANISATIONS, nowMs)
        .forEach(entry -> work.put(entry.getKey(), entry.getValue()));
    return Optional.of(new PeerDemand(waiting, work));
  }
}
