package org.bulrushweir.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.FindingCollector;
import org.bulrushweir.catalog.ActivePlan;
import org.bulrushweir.platform.RoutingPlanDecoder;
import org.bulrushweir.store.RowChange;

/** Puts configurations in force as the store tells them. */
final class PlanListener implements TableListener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final RoutingPlanDecoder decoder = new RoutingPlanDecoder();
  private final ActivePlan activePlan;
  private final Clock clock;

  /**
   * Creates the listener.
   *
   * @param activePlan holds the plan in force
   * @param clock the clock
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
        offer(row.value().get(), row.version());
      }
    }
  }

  private void offer(final String text, final long rowVersion) {
    final FindingCollector findings = new FindingCollector();
    decoder
        .decode(text, findings)
        .ifPresent(
            plan -> {
              final boolean adopted = activePlan.adoptIfNewer(plan);
              logger.atInfo().log(
                  "configuration %d of row version %d with %d routes: %s",
                  plan.version(),
                  rowVersion,
                  plan.routeCount(),
                  adopted ? "in force" : "not newer than the one in force");
            });
    findings.findings().forEach(finding -> logger.atWarning().log("%s", finding));
  }

  @Override
  public void onUpToDate() {
    activePlan.recordConfirmation(clock.nowMs());
  }

  @Override
  public void onUnreachable(final long calledAtMs) {
    // The plan in force stays; how old its confirmation is decides what may be refused.
  }
}
