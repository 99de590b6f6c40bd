package org.bulrushweir.delivery;

/**
 * Allows extra attempts as a share of the traffic, so that they can't amplify an overload. Safe for
 * use by many threads.
 */
public final class ExtraAttemptBudget {

  private final double share;
  private final double capacity;
  private double tokens;

  /**
   * Creates a full budget.
   *
   * @param share how many extra attempts each request pays for, for example 0.1
   * @param capacity how many extra attempts can be saved up
   */
  public ExtraAttemptBudget(final double share, final double capacity) {
    this.share = share;
    this.capacity = capacity;
    this.tokens = capacity;
  }

  /** Adds the share of one request. */
  public synchronized void deposit() {
    tokens = Math.min(capacity, tokens + share);
  }

  /**
   * Takes one extra attempt out of the budget.
   *
   * @return false if the budget is used up
   */
  public synchronized boolean tryWithdraw() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
