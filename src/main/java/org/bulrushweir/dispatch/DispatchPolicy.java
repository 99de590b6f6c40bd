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
  private static final double TRUST = 0.7;

  /**
   * The share of a caller's time limit after which a response is worth nothing any more: requests
   * that wait are sent, or rejected, before.
   */
  private static final double USEFUL_SHARE = 0.75;

  /** The share of the time limit for which a request may wait however long requests take. */
  private static final double MIN_WAIT_SHARE = 0.25;

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
    final boolean late = isTooLate(request, load.prefillMs(), outlook, nowMs);
    if (late && load.isHalfTaken() && !outlook.passedByLessUrgent()) {
      return reject(
          RejectionReason.PREFILL_BACKLOG, request, load, outlook, load.prefillMs(), nowMs);
    }
    if (!outlook.behindOthers()
        && hasRoom(load)
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
   * Returns whether this gateway may send another request.
   *
   * @param load the load of the service
   * @return true if its part of the requests that the endpoints may have is not reached
   */
  boolean hasRoom(final ServiceLoad load) {
    return load.room().places() == 0
        || load.ownInFlight() < load.ownPart(settings.slotMultiple() * load.room().places());
  }

  /**
   * Returns whether a request lets more urgent ones of other gateways go first.
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
    return behindPeers && load.isScarce() && nowMs - sinceMs < longestMs;
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
    return waitMs > 0 && nowMs + TRUST * waitMs > latestStartMs(request, outlook.meanMs());
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
