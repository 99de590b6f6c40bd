package org.bulrushweir.balancing;

/** The cost of an endpoint for one request. */
@FunctionalInterface
interface EndpointCost {

  /**
   * Returns the terms of the cost.
   *
   * @param state the endpoint
   * @return the terms, whose sum is the cost
   */
  CostTerms terms(EndpointState state);
}
