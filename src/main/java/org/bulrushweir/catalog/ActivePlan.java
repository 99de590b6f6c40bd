package org.bulrushweir.catalog;

import java.util.Optional;

/**
 * Holds the plan in force. Versions only move forward, whatever way they arrive, and a plan counts
 * as confirmed only for a while after the store has said that there is no newer one.
 */
public final class ActivePlan {

  /**
   * For how long after the store's last answer this process may refuse what it does not know, in
   * milliseconds: the wait of a poll plus its timeout, see {@code PollTimings}.
   */
  static final long CONFIRMED_FOR_MS = 2_600;

  private RoutingPlan current;
  private long confirmedAtMs = Long.MIN_VALUE / 2;

  /**
   * Takes a plan.
   *
   * @param plan the plan
   * @return true if it is newer than the one in force and replaces it
   */
  public boolean adoptIfNewer(final RoutingPlan plan) {
    if (current != null && plan.version() <= current.version()) {
      return false;
    }
    current = plan;
    return true;
  }

  /**
   * Notes that the store knows no newer plan.
   *
   * @param nowMs when its answer came
   */
  public void recordConfirmation(final long nowMs) {
    confirmedAtMs = nowMs;
  }

  /**
   * Returns the plan in force.
   *
   * @return the plan, empty before the first one is known
   */
  public Optional<RoutingPlan> current() {
    return Optional.ofNullable(current);
  }

  /**
   * Tells whether the plan in force is certainly recent, so that what it does not know may be
   * refused for good.
   *
   * @param nowMs the current time
   * @return false if there is no plan or the store was not heard of lately
   */
  public boolean isConfirmed(final long nowMs) {
    return current != null && nowMs - confirmedAtMs <= CONFIRMED_FOR_MS;
  }

  /**
   * Returns how old the last confirmation is.
   *
   * @param nowMs the current time
   * @return the age in milliseconds
   */
  public long confirmationAgeMs(final long nowMs) {
    return nowMs - confirmedAtMs;
  }
}
