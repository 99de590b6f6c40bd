package org.bulrushweir.balancing;

/**
 * Tells from the outcomes of requests whether an endpoint is fit to serve. A failing endpoint is
 * left alone for a while that doubles with each relapse, and then gets one request at a time until
 * one succeeds.
 */
public final class EndpointHealth {

  /** The first pause of a failing endpoint, in milliseconds: a few requests' time at a router. */
  private static final long FIRST_PAUSE_MS = 500;

  /** The longest pause, in milliseconds: an endpoint that is back serves within seconds. */
  private static final long LONGEST_PAUSE_MS = 4_000;

  /** The weight of the newest outcome in the share of failures. */
  private static final double NEWEST_WEIGHT = 0.2;

  /** From which share of failures on an endpoint is left alone. */
  private static final double FAILING_SHARE = 0.5;

  /** From how many failures in a row on an endpoint is left alone. */
  private static final int FAILING_RUN = 3;

  private double failureShare;
  private int failuresInRow;
  private long pauseMs = FIRST_PAUSE_MS;
  private long pausedUntilMs = Long.MIN_VALUE;
  private boolean onProbation;

  /** Notes a request that was answered. */
  void succeeded() {
    failureShare -= NEWEST_WEIGHT * failureShare;
    failuresInRow = 0;
    if (onProbation) {
      onProbation = false;
      failureShare = 0;
    }
    if (failureShare < NEWEST_WEIGHT) {
      pauseMs = FIRST_PAUSE_MS;
    }
  }

  /**
   * Notes a request that failed although the endpoint was reached.
   *
   * @param nowMs the current time
   */
  void failed(final long nowMs) {
    failureShare += NEWEST_WEIGHT * (1 - failureShare);
    failuresInRow++;
    if (onProbation || failuresInRow >= FAILING_RUN || failureShare > FAILING_SHARE) {
      pause(nowMs);
    }
  }

  /**
   * Notes that the endpoint could not be reached.
   *
   * @param nowMs the current time
   */
  void unreachable(final long nowMs) {
    pause(nowMs);
  }

  private void pause(final long nowMs) {
    if (nowMs < pausedUntilMs) {
      return;
    }
    pausedUntilMs = nowMs + pauseMs;
    pauseMs = Math.min(LONGEST_PAUSE_MS, 2 * pauseMs);
    onProbation = true;
    failuresInRow = 0;
  }

  /**
   * Tells whether the endpoint should be passed over while others are fit.
   *
   * @param inFlight how many requests this router has there
   * @param nowMs the current time
   * @return true while the endpoint pauses, or is tried with one request
   */
  boolean isSuspect(final int inFlight, final long nowMs) {
    return nowMs < pausedUntilMs || onProbation && inFlight > 0;
  }
}
