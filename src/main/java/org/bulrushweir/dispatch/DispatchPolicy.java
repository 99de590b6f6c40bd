package org.bulrushweir.dispatch;

import java.util.Locale;
import java.util.function.DoubleSupplier;

/**
 * Decides whether a request is sent now, waits or is rejected.
 *
 * <p>Estimates are used conservatively: a wrong rejection costs more than a late response.
 */
public final class DispatchPolicy {

  /** The share of an expected wait that must exceed the time left before a request is rejected. */
  private static final double TRUST = 0.85;

  /**
   * The same for a request that has waited for half of the time that it may: a rejection costs its
   * caller more with each moment, and estimates are more often too short than too long.
   */
  private static final double LATE_TRUST = 1.2;

  /**
   * The share of a prefill backlog that is counted as certain: engines prefill up to a third faster
   * than their data sheet says.
   */
  private static final double PREFILL_TRUST = 0.75;

  /**
   * The share of a caller's time limit after which a response is worth nothing any more: requests
   * that wait are sent, or rejected, before.
   */
  private static final double USEFUL_SHARE = 0.75;

  /** The share of the time limit for which a request may wait however long requests take. */
  private static final double MIN_WAIT_SHARE = 0.25;

  /** The smallest part of the endpoints' requests at which rounding it up does little harm. */
  private static final double MIN_PART = 4;

  /**
   * The multiple of its part by demand that a gateway may use while its peers leave room. Demand is
   * known late, and some of the peers need less than their part.
   */
  private static final double DEMAND_MULTIPLE = 1.5;

  /**
   * The longest time for which a request waits because more urgent ones wait at other gateways, in
   * milliseconds. Their reports may be outdated.
   */
  private static final long MAX_YIELD_MS = 500;

  /** The longest time for which it does so, as a share of its time limit. */
  private static final double MAX_YIELD_SHARE = 0.25;

  /** The bounds of a {@code Retry-After} delay, in milliseconds. */
  private static final long MIN_RETRY_AFTER_MS = 200;

  private static final long MAX_RETRY_AFTER_MS = 5_000;

  /** The part of a {@code Retry-After} delay that is random, so that callers return one by one. */
  private static final double RANDOM_SHARE = 0.5;

  private final DispatchSettings settings;
  private final DoubleSupplier random;

  /**
   * Creates the policy.
   *
   * @param settings its settings
   * @param random draws numbers from 0 to 1
   */
  public DispatchPolicy(final DispatchSettings settings, final DoubleSupplier random) {
    this.settings = settings;
    this.random = random;
  }

  /**
   * Decides on a request that has arrived.
   *
   * @param request the request
   * @param load the load of its service
   * @param outlook what it has to expect here
   * @param nowMs the current time, in Unix milliseconds
   * @return the decision
   */
  DispatchDecision decide(
      final DispatchRequest request,
      final ServiceLoad load,
      final Outlook outlook,
      final long nowMs) {
    if (load.room().endpoints() == 0) {
      return new DispatchDecision.SendNow();
    }
    final long prefillMs = (long) (PREFILL_TRUST * load.prefillMs());
    final boolean late = isTooLate(request, prefillMs, outlook, nowMs);
    if (late && load.isHalfTaken() && !outlook.passedByLessUrgent()) {
      return reject(
          RejectionReason.PREFILL_BACKLOG, request, load, outlook, load.prefillMs(), nowMs);
    }
    if (!outlook.behindOthers()
        && outlook.room()
        && !yields(request, request.arrivedMs(), outlook.behindPeers(), load, nowMs)) {
      return new DispatchDecision.SendNow();
    }
    if (!isTooLate(request, outlook.waitMs(), outlook, nowMs) || !load.isHalfTaken()) {
      return new DispatchDecision.Wait(outlook.waitMs());
    }
    if (!outlook.passedByLessUrgent()) {
      return reject(RejectionReason.DEADLINE, request, load, outlook, outlook.waitMs(), nowMs);
    }
    // Rejected, it would be passed over by the less urgent request that was just sent.
    return outlook.behindOthers()
        ? new DispatchDecision.Wait(outlook.waitMs())
        : new DispatchDecision.SendNow();
  }

  /**
   * Returns whether this gateway may send another request: up to an equal part of the requests that
   * the endpoints may have, and beyond it while its peers leave room, up to a part by its share of
   * the demand. Equal parts are safe against outdated reports, which would otherwise let all
   * gateways hold requests while slots are idle; parts by demand keep all of them from taking the
   * same free slots. A small equal part is rounded up, but then used at intervals; a request that
   * is more urgent than others may use it ahead of time, at their cost.
   *
   * @param load the load of the service
   * @param demandShare the share of this gateway in the requests that are in flight and that wait
   * @param due whether the interval since this gateway sent a request is over
   * @param urgent whether less urgent requests arrive here too
   * @return true if it may
   */
  boolean hasRoom(
      final ServiceLoad load, final double demandShare, final boolean due, final boolean urgent) {
    final double all = settings.slotMultiple() * load.room().places();
    if (all == 0
        || load.room().inFlight() < all
            && load.ownInFlight() < Math.max(1, DEMAND_MULTIPLE * demandShare * all)) {
      return true;
    }
    final double part = all / load.gateways();
    if (part >= MIN_PART || load.gateways() == 1) {
      return load.ownInFlight() < part;
    }
    return urgent ? load.ownInFlight() < part + 1 : load.ownInFlight() < part && due;
  }

  /**
   * Returns the interval at which a gateway uses its equal part.
   *
   * @param load the load of the service
   * @param meanMs the mean duration of a request, in milliseconds
   * @return the time in milliseconds
   */
  double intervalMs(final ServiceLoad load, final double meanMs) {
    return meanMs * load.gateways() / Math.max(1, settings.slotMultiple() * load.room().places());
  }

  /**
   * Returns whether a request lets more urgent ones of other gateways go first. An equal part of
   * the slots is used anyway, so that outdated reports leave none idle.
   *
   * @param request the request
   * @param sinceMs the time since which it waits, in Unix milliseconds
   * @param behindPeers whether a more urgent request waits at another gateway
   * @param load the load of the service
   * @param nowMs the current time, in Unix milliseconds
   * @return true if it waits for them
   */
  boolean yields(
      final DispatchRequest request,
      final long sinceMs,
      final boolean behindPeers,
      final ServiceLoad load,
      final long nowMs) {
    final double longestMs = Math.min(MAX_YIELD_MS, MAX_YIELD_SHARE * request.limitMs());
    final double ownSlots = (double) load.room().places() / load.gateways();
    return behindPeers
        && load.isScarce()
        && load.ownInFlight() >= ownSlots
        && nowMs - sinceMs < longestMs;
  }

  /**
   * Returns until when a request must be sent to be of use.
   *
   * @param request the request
   * @param meanMs the mean duration of a request, in milliseconds
   * @return the time in Unix milliseconds
   */
  long latestStartMs(final DispatchRequest request, final double meanMs) {
    final double usefulMs = USEFUL_SHARE * request.limitMs();
    final double inTimeMs = Math.min(usefulMs, request.limitMs() - meanMs);
    return request.arrivedMs()
        + (long) Math.max(inTimeMs, Math.min(usefulMs, MIN_WAIT_SHARE * request.limitMs()));
  }

  /**
   * Returns whether a request can't be sent in time.
   *
   * @param request the request
   * @param waitMs its expected wait, in milliseconds
   * @param outlook what it has to expect here
   * @param nowMs the current time, in Unix milliseconds
   * @return true if this is certain enough for a rejection
   */
  boolean isTooLate(
      final DispatchRequest request, final long waitMs, final Outlook outlook, final long nowMs) {
    final long latestMs = latestStartMs(request, outlook.meanMs());
    final boolean halfPassed = 2 * nowMs > latestMs + request.arrivedMs();
    return waitMs > 0 && nowMs + (halfPassed ? LATE_TRUST : TRUST) * waitMs > latestMs;
  }

  /**
   * Rejects a request.
   *
   * @param reason the reason
   * @param request the request
   * @param load the load of its service
   * @param outlook what it had to expect
   * @param waitMs the time in which capacity becomes free for it, in milliseconds
   * @param nowMs the current time, in Unix milliseconds
   * @return the rejection with a random delay from that time
   */
  DispatchDecision.Reject reject(
      final RejectionReason reason,
      final DispatchRequest request,
      final ServiceLoad load,
      final Outlook outlook,
      final long waitMs,
      final long nowMs) {
    final double retryMs = waitMs * (1 - RANDOM_SHARE * random.getAsDouble());
    final double spreadMs = MIN_RETRY_AFTER_MS * (1 + random.getAsDouble());
    final String detail =
        "refused because of "
            + reason.name().toLowerCase(Locale.ROOT)
            + ": rank "
            + request.rank()
            + ", expected wait "
            + waitMs
            + " ms, waited "
            + (nowMs - request.arrivedMs())
            + " ms, latest start after "
            + (latestStartMs(request, outlook.meanMs()) - request.arrivedMs())
            + " ms; "
            + load.room().inFlight()
            + " requests in flight ("
            + load.ownInFlight()
            + " own) at "
            + load.room().endpoints()
            + " endpoints with "
            + load.room().places()
            + " slots, "
            + load.gateways()
            + " gateways";
    return new DispatchDecision.Reject(
        reason, (long) Math.clamp(retryMs, spreadMs, MAX_RETRY_AFTER_MS), detail);
  }
}
