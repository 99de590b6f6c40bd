package org.bulrushweir.routing;

import java.util.Optional;
import org.bulrushweir.membership.AgedReport;
import org.bulrushweir.membership.EndpointInfo;
import org.bulrushweir.membership.EndpointTable;

/** Builds the views on which routers base their choice. */
public final class EndpointViews {

  private EndpointViews() {}

  /**
   * Builds the view of an endpoint.
   *
   * @param info the endpoint
   * @param table the latest reports
   * @param suspect whether the endpoint could not be reached lately
   * @param nowMs the current time
   * @return the view, empty if the endpoint is known to take no work
   */
  public static Optional<EndpointView> of(
      final EndpointInfo info, final EndpointTable table, final boolean suspect, final long nowMs) {
    final long key = EndpointTable.key(info.id());
    final Optional<AgedReport> aged = table.report(key, nowMs);
    if (aged.isEmpty()) {
      return Optional.of(
          new EndpointView(info.id(), key, Long.MAX_VALUE, suspect, 0, Long.MAX_VALUE, 0));
    }
    if (aged.get().report().leaving()) {
      return Optional.empty();
    }
    return Optional.of(
        new EndpointView(
            info.id(),
            key,
            nowMs - aged.get().report().incarnation().value(),
            suspect,
            aged.get().report().load(),
            aged.get().ageMs(),
            aged.get().report().paceMicros()));
  }
}
