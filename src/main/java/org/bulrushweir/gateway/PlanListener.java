package org.bulrushweir.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.FindingCollector;
import org.bulrushweir.catalog.ActivePlan;
import org.bulrushweir.platform.RoutingPlanDecoder;
import org.bulrushweir.store.RowChange;

/** Activates the routing plans that are read from the store's configuration table. */
final class PlanListener implements TableListener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final RoutingPlanDecoder decoder = new RoutingPlanDecoder();
  private final ActivePlan activePlan;
  private final Clock clock;

  /**
   * Creates the listener.
   *
   * @param activePlan the active routing plan
   * @param clock the process's clock
   */
  PlanListener(final ActivePlan activePlan, final Clock clock) {
    this.activePlan = activePlan;
    this.clock = clock;
  }

  @Override
  public void onSnapshot(final List<RowChange> rows) {
    onChanges(rows);
  }

  @Override
  public void onChanges(final List<RowChange> rows) {
    for (final RowChange row : rows) {
      if (row.key().equals(RoutingPlanDecoder.ROW_KEY) && row.value().isPresent()) {
        activate(row.value().get(), row.version());
      }
    }
  }

  private void activate(final String text, final long rowVersion) {
    final FindingCollector findings = new FindingCollector();
    decoder
        .decode(text, findings)
        .ifPresent(
            plan -> {
              final boolean adopted = activePlan.adoptIfNewer(plan);
              activePlan.recordRead(plan.version(), clock.nowMs());
              logger.atInfo().log(
                  "configuration %d of row version %d with %d routes: %s",
                  plan.version(),
                  rowVersion,
                  plan.routeCount(),
                  adopted ? "activated" : "ignored, since it is not newer than the active one");
            });
    findings.findings().forEach(finding -> logger.atWarning().log("%s", finding));
  }

  @Override
  public void onUpToDate() {
    activePlan.recordConfirmation(clock.nowMs());
  }

  @Override
  public void onRestored(final long pollStartedMs) {
    activePlan.recordRestoration();
  }

  @Override
  public void onUnreachable(final long pollStartedMs) {
    // The active plan stays; the age of its last confirmation decides which refusals are permitted.
  }
}
