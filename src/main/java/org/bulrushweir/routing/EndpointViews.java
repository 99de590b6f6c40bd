package org.bulrushweir.routing;

import java.util.Optional;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.membership.AgedReport;
import org.bulrushweir.membership.EndpointTable;

/** Builds the endpoint views that the selection is based on. */
final class EndpointViews {

  private EndpointViews() {}

  /**
   * Builds the view of an endpoint.
   *
   * @param id the id of the endpoint
   * @param key the hash of its id
   * @param table the latest reports of the endpoints
   * @param suspect whether connections to the endpoint failed recently
   * @param nowMs the current time, in Unix milliseconds
   * @return the view; its load is zero if the table has no report of the endpoint
   */
  static EndpointView of(
      final EndpointId id,
      final long key,
      final EndpointTable table,
      final boolean suspect,
      final long nowMs) {
    final Optional<AgedReport> aged = table.report(key, nowMs);
    if (aged.isEmpty()) {
      return new EndpointView(id, key, Long.MAX_VALUE, suspect, 0, Long.MAX_VALUE, 0);
    }
    return new EndpointView(
        id,
        key,
        nowMs - aged.get().report().incarnation().value(),
        suspect,
        aged.get().report().load(),
        aged.get().ageMs(),
        aged.get().report().paceMicros());
  }
}
