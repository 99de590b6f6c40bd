package org.bulrushweir.replay;

import org.bulrushweir.delivery.CandidateSource;
import org.bulrushweir.routing.ChatCandidates;

/** The fleet's own policy. */
public final class FleetPolicy implements ReplayPolicy {

  @Override
  public String name() {
    return "bulrushweir";
  }

  @Override
  public CandidateSource candidates(final RouteContext context) {
    return new ChatCandidates(context.chat(), context.hint(), context.pool());
  }

  @Override
  public boolean enforced() {
    return true;
  }

  @Override
  public boolean hedged() {
    return true;
  }
}
