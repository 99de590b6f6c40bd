package org.bulrushweir.dispatch;

import java.util.Optional;
import org.bulrushweir.api.OrganisationId;

/**
 * A request that is to be sent to an endpoint for the first time.
 *
 * @param number tells the requests of a gateway apart, in the order of their arrival
 * @param rank the priority, 0 is the most urgent
 * @param organisation the organisation that it is sent for, empty without a valid key
 * @param arrivedMs the time of its arrival, in Unix milliseconds
 * @param sinceMs the time from which its turn counts, in Unix milliseconds: the arrival, or that of
 *     the request that was rejected before
 * @param targetMs the latency objective, in milliseconds
 * @param deadlineMs the time at which its caller stops waiting, in Unix milliseconds
 * @param work the expected work: tokens at engines, otherwise milliseconds
 */
public record DispatchRequest(
    long number,
    int rank,
    Optional<OrganisationId> organisation,
    long arrivedMs,
    long sinceMs,
    long targetMs,
    long deadlineMs,
    double work) {

  /** The most work that a single request counts for: a million tokens. */
  private static final double MAX_WORK = 1_000_000;

  /**
   * The longest latency objective that counts in the order, in milliseconds: a request with a
   * longer one is overtaken by later ones for no longer than this.
   */
  private static final long MAX_ORDER_TARGET_MS = 2_000;

  /**
   * The multiple of the mean duration that is kept free before the latency objective: most requests
   * take less.
   */
  private static final double DURATION_MARGIN = 1.3;

  /**
   * The largest share of the latency objective that is kept free. Streams last longer than the time
   * to their first event, which the objective is about.
   */
  private static final double MAX_MARGIN_SHARE = 0.5;

  /** Creates a request whose work is at least zero: callers state the tokens it is made of. */
  public DispatchRequest {
    work = Math.clamp(work, 0, MAX_WORK);
  }

  /**
   * Returns the position in the order of its rank and organisation.
   *
   * @return a time in Unix milliseconds, the smallest one is first
   */
  long orderMs() {
    return sinceMs + Math.min(targetMs, MAX_ORDER_TARGET_MS);
  }

  /**
   * Returns until when the request must be sent to be answered within its latency objective.
   *
   * @param meanMs the mean duration of a request, in milliseconds
   * @return the time in Unix milliseconds
   */
  double inTimeUntilMs(final double meanMs) {
    return arrivedMs + targetMs - Math.min(DURATION_MARGIN * meanMs, MAX_MARGIN_SHARE * targetMs);
  }

  /**
   * Returns how long the caller waits.
   *
   * @return the time from the arrival to the deadline, in milliseconds
   */
  long limitMs() {
    return deadlineMs - arrivedMs;
  }
}
