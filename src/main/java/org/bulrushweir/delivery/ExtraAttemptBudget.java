package org.bulrushweir.delivery;

/**
 * Limits extra attempts (retries or hedges) to a share of the requests, so that they can't amplify
 * an overload. Thread-safe.
 */
public final class ExtraAttemptBudget {

  private final double share;
  private final double capacity;
  private double available;

  /**
   * Creates a full budget.
   *
   * @param share the number of extra attempts that each request adds to the budget, for example 0.1
   * @param capacity the maximum number of extra attempts in the budget
   */
  public ExtraAttemptBudget(final double share, final double capacity) {
    this.share = share;
    this.capacity = capacity;
    this.available = capacity;
  }

  /** Adds the share of one request, up to the capacity. */
  public synchronized void deposit() {
    available = Math.min(capacity, available + share);
  }

  /**
   * Withdraws one extra attempt from the budget, if one is available.
   *
   * @return true if the attempt may be sent, false if the budget is exhausted
   */
  public synchronized boolean tryWithdraw() {
    if (available < 1) {
      return false;
    }
    available -= 1;
    return true;
  }
}
