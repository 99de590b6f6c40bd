package org.bulrushweir.balancing;

/**
 * Detects failing endpoints from the outcomes of their attempts. A failing endpoint is ejected for
 * a period that doubles with each relapse. After that it receives one probe request at a time until
 * one succeeds.
 */
public final class EndpointHealth {

  /**
   * The first ejection period, in milliseconds: about the duration of a few requests at a gateway.
   */
  private static final long BASE_EJECTION_MS = 500;

  /**
   * The longest ejection period, in milliseconds. It is short so that a recovered endpoint receives
   * requests again within seconds.
   */
  private static final long MAX_EJECTION_MS = 4_000;

  /** The weight of the newest outcome in the moving average of failures. */
  private static final double NEWEST_OUTCOME_WEIGHT = 0.2;

  /** The share of failures above which an endpoint is ejected. */
  private static final double EJECTION_FAILURE_SHARE = 0.5;

  /** The number of consecutive failures from which an endpoint is ejected. */
  private static final int EJECTION_CONSECUTIVE_FAILURES = 3;

  private double failureShare;
  private int consecutiveFailures;
  private long ejectionMs = BASE_EJECTION_MS;
  private long ejectedUntilMs = Long.MIN_VALUE;
  private long heldOffUntilMs;
  private boolean probing;
  private boolean unreachable;

  /**
   * Records the end of an attempt.
   *
   * @param outcome the outcome of the attempt
   * @param nowMs the current time, in Unix milliseconds
   */
  void record(final AttemptOutcome outcome, final long nowMs) {
    if (outcome == AttemptOutcome.ANSWERED) {
      recordSuccess(nowMs);
    } else if (outcome == AttemptOutcome.FAILED) {
      recordFailure(nowMs);
    } else if (outcome == AttemptOutcome.UNREACHABLE) {
      recordUnreachable(nowMs);
    }
  }

  /**
   * Records an attempt that succeeded.
   *
   * @param nowMs the current time, in Unix milliseconds
   */
  void recordSuccess(final long nowMs) {
    unreachable = false;
    failureShare -= NEWEST_OUTCOME_WEIGHT * failureShare;
    consecutiveFailures = 0;
    if (probing && heldOffForMs(nowMs) == 0) {
      probing = false;
      failureShare = 0;
    }
    if (failureShare < NEWEST_OUTCOME_WEIGHT) {
      ejectionMs = BASE_EJECTION_MS;
    }
  }

  /**
   * Records an attempt that failed although the endpoint was reached.
   *
   * @param nowMs the current time, in Unix milliseconds
   */
  void recordFailure(final long nowMs) {
    unreachable = false;
    failureShare += NEWEST_OUTCOME_WEIGHT * (1 - failureShare);
    consecutiveFailures++;
    if (probing
        || consecutiveFailures >= EJECTION_CONSECUTIVE_FAILURES
        || failureShare > EJECTION_FAILURE_SHARE) {
      eject(nowMs);
    }
  }

  /**
   * Records that no connection to the endpoint could be opened.
   *
   * @param nowMs the current time, in Unix milliseconds
   */
  void recordUnreachable(final long nowMs) {
    unreachable = true;
    eject(nowMs);
  }

  /**
   * Records that the endpoint wants no requests for a while. The last word counts. Afterwards the
   * endpoint gets one probe request at a time until one succeeds.
   *
   * @param untilMs the end of that time, in Unix milliseconds
   */
  void recordHoldOff(final long untilMs) {
    heldOffUntilMs = untilMs;
    probing = true;
  }

  /**
   * Returns for how long the endpoint wants no requests.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the time in milliseconds, zero if it takes requests
   */
  long heldOffForMs(final long nowMs) {
    return Math.max(0, heldOffUntilMs - nowMs);
  }

  private void eject(final long nowMs) {
    if (nowMs < ejectedUntilMs) {
      return;
    }
    ejectedUntilMs = nowMs + ejectionMs;
    ejectionMs = Math.min(MAX_EJECTION_MS, 2 * ejectionMs);
    probing = true;
    consecutiveFailures = 0;
  }

  /**
   * Returns whether other endpoints are preferred to this one because of its failures.
   *
   * @param inFlight the number of in-flight attempts of this gateway at the endpoint
   * @param nowMs the current time, in Unix milliseconds
   * @return true while the endpoint is ejected or a probe request is in flight
   */
  boolean isSuspect(final int inFlight, final long nowMs) {
    return nowMs < ejectedUntilMs || probing && inFlight > 0;
  }

  /**
   * Returns whether an ejected endpoint could not be connected to when it was last tried. It has
   * most likely ended, while one that only fails requests still has its caches.
   *
   * @param inFlight the number of in-flight attempts of this gateway at the endpoint
   * @param nowMs the current time, in Unix milliseconds
   * @return true if the endpoint is suspect and no connection to it could be opened
   */
  boolean isUnreachable(final int inFlight, final long nowMs) {
    return unreachable && isSuspect(inFlight, nowMs);
  }
}
