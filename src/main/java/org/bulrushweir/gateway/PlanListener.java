package org.bulrushweir.gateway;

import com.google.common.flogger.FluentLogger;
import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.FindingCollector;
import org.bulrushweir.catalog.ActivePlan;
import org.bulrushweir.catalog.RoutingPlan;
import org.bulrushweir.platform.RoutingPlanDecoder;
import org.bulrushweir.store.RowChange;

/** Activates the routing plans that are read from the store's configuration table. */
final class PlanListener implements TableListener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final RoutingPlanDecoder decoder = new RoutingPlanDecoder();
  private final ActivePlan activePlan;
  private final Clock clock;

  /** The earlier texts under the active version; a store that is restored again may hold them. */
  private final Set<HashCode> replacedTexts = new HashSet<>();

  /** The text of the active plan. */
  private HashCode activeText;

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
    decoder.decode(text, findings).ifPresent(plan -> activate(plan, hash(text), rowVersion));
    findings.findings().forEach(finding -> logger.atWarning().log("%s", finding));
  }

  private void activate(final RoutingPlan plan, final HashCode text, final long rowVersion) {
    final String outcome;
    if (activePlan.adoptIfNewer(plan)) {
      outcome = "activated";
      replacedTexts.clear();
    } else if (replacedTexts.contains(text)) {
      outcome = "ignored, since another text of this version has replaced it";
    } else if (!text.equals(activeText) && activePlan.adoptOfSameVersion(plan)) {
      outcome = "activated in place of another text of this version";
      replacedTexts.add(activeText);
    } else {
      outcome = "ignored, since it is not newer than the active one";
    }
    if (isActive(plan)) {
      activeText = text;
    }
    if (!replacedTexts.contains(text)) {
      activePlan.recordRead(plan.version(), clock.nowMs());
    }
    logger.atInfo().log(
        "configuration %d of row version %d with %d routes: %s",
        plan.version(), rowVersion, plan.routeCount(), outcome);
  }

  private boolean isActive(final RoutingPlan plan) {
    return activePlan.current().filter(current -> current == plan).isPresent();
  }

  private static HashCode hash(final String text) {
    return Hashing.sha256().hashString(text, StandardCharsets.UTF_8);
  }

  @Override
  public void onUpToDate(final long confirmedAtMs) {
    activePlan.recordConfirmation(confirmedAtMs);
  }

  @Override
  public void onRestored(final long answeredUntilMs) {
    activePlan.recordRestoration();
  }

  @Override
  public void onUnreachable(final long answeredUntilMs) {
    // The active plan stays; the age of its last confirmation decides which refusals are permitted.
  }
}
