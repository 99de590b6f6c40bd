package org.bulrushweir.balancing;

/**
 * The terms of the cost of an endpoint for a request. The selection compares their sum. Terms of
 * prompts are in milliseconds; those of calls are relative to the mean time of a call or, without
 * stated load, to the slots of the endpoint.
 *
 * @param work the weighted prefill of the tokens that no engine has cached; for a call, its own
 *     time
 * @param transfer the time for tokens that another engine transfers
 * @param backlog the prefill of the prompts that the engine already has
 * @param running the delay by the requests in flight
 * @param hashOwner the discount of the engine that hashing assigns, zero or negative
 * @param pace what the terms above gain or lose by the endpoint's pace
 * @param zone the cost of another availability zone
 * @param spread the pseudo-random term that keeps gateways from choosing alike
 * @param overBound the cost that replaces all others at or above the load bound
 */
public record CostTerms(
    double work,
    double transfer,
    double backlog,
    double running,
    double hashOwner,
    double pace,
    double zone,
    double spread,
    double overBound) {

  /** Returns the terms of an engine at or above the load bound. */
  static CostTerms ofOverBound(final double cost) {
    return new CostTerms(0, 0, 0, 0, 0, 0, 0, 0, cost);
  }

  /**
   * Returns the cost that the selection compares.
   *
   * @return the sum of the terms
   */
  public double total() {
    return work + transfer + backlog + running + hashOwner + pace + zone + spread + overBound;
  }
}
