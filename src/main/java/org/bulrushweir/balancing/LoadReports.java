package org.bulrushweir.balancing;

import java.util.HashMap;
import java.util.Map;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.NodeId;

/** Applies peers' reports to the states of the endpoints, and supplies this gateway's own load. */
final class LoadReports {

  private final Map<NodeId, ReportOrder> latest = new HashMap<>();
  private final EndpointStates states;

  /**
   * Creates the reports of peers that have not reported yet.
   *
   * @param states the states of the endpoints
   */
  LoadReports(final EndpointStates states) {
    this.states = states;
  }

  /**
   * Applies the report of a peer, unless it was overtaken by a newer one.
   *
   * @param report the report
   * @param nowMs the current time, in Unix milliseconds
   * @return false if a newer report of the same peer was applied before
   */
  boolean apply(final PeerReport report, final long nowMs) {
    final ReportOrder order = new ReportOrder(report.incarnation(), report.sequence());
    final ReportOrder before = latest.get(report.node());
    if (before != null && !order.isNewerThan(before)) {
      return false;
    }
    latest.put(report.node(), order);
    states.refresh();
    for (final EndpointState state : states.all()) {
      state.updatePeerLoad(report.node(), report.loads().get(state.entry().id()), nowMs);
    }
    for (final PeerReport.Placement placement : report.placements()) {
      final EndpointState state = states.get(placement.endpoint());
      if (state != null) {
        state
            .prefixCache()
            .recordPrefill(placement.sharedSegments(), nowMs + placement.prefilledInMs());
      }
    }
    return true;
  }

  /**
   * Returns the load that this gateway itself puts on the endpoints.
   *
   * @return the loads by endpoint; endpoints without an attempt of this gateway are left out
   */
  Map<EndpointId, PeerLoad> own() {
    final Map<EndpointId, PeerLoad> loads = new HashMap<>();
    for (final EndpointState state : states.all()) {
      if (state.ownInFlight() > 0) {
        loads.put(
            state.entry().id(),
            new PeerLoad(state.ownInFlight(), state.ownPendingTokens(), state.ownHeldTokens()));
      }
    }
    return loads;
  }
}
