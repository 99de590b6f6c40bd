package org.bulrushweir.routing;

import java.util.Optional;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.membership.AgedReport;
import org.bulrushweir.membership.EndpointTable;

/** Builds the views on which routers base their choice. */
final class EndpointViews {

  private EndpointViews() {}

  /**
   * Builds the view of an endpoint.
   *
   * @param id the endpoint
   * @param key its key
   * @param table the latest reports
   * @param suspect whether the endpoint could not be reached lately
   * @param nowMs the current time
   * @return the view
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
