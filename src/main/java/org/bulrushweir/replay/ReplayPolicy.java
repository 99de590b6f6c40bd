package org.bulrushweir.replay;

import org.bulrushweir.delivery.CandidateSource;

/** A way of choosing endpoints that is replayed. */
public interface ReplayPolicy {

  /**
   * Returns the policy's name.
   *
   * @return a few words
   */
  String name();

  /**
   * Proposes endpoints for a request.
   *
   * @param context what the router knows
   * @return the endpoints
   */
  CandidateSource candidates(RouteContext context);

  /**
   * Tells whether sidecars enforce limits, queue by class and organisation and remember chats.
   *
   * @return false if they let everything run in the order in which it comes
   */
  boolean enforced();

  /**
   * Tells whether a second endpoint is asked when a first token is late.
   *
   * @return true if it is
   */
  boolean hedged();
}
