package org.bulrushweir.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.logging.Level;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.catalog.ActivePlan;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.catalog.ServicePlan;
import org.bulrushweir.coldstart.ColdBudget;
import org.bulrushweir.coldstart.ColdEndpoints;
import org.bulrushweir.coldstart.ColdSettings;
import org.bulrushweir.coldstart.GatewayView;
import org.bulrushweir.coldstart.NoShareReason;
import org.bulrushweir.wire.generated.RouterReport;

/**
 * Feeds the budget of cold endpoints with registrations and with the peers that are heard, and logs
 * its changes. Without settings nothing is limited and nothing is logged.
 *
 * <p>Confined to the event loop.
 */
final class ColdStartMonitor implements ReportSection, RegistrationObserver {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The number of endpoints that a log line names. */
  private static final int MAX_NAMED = 10;

  private final ColdEndpoints endpoints = new ColdEndpoints();
  private final Optional<ColdSettings> settings;
  private final ActivePlan activePlan;
  private final Clock clock;
  private final GatewayView view;
  private final ColdBudget budget;
  private Optional<NoShareReason> loggedReason = Optional.empty();

  /**
   * Creates a monitor that knows no endpoint and no peer.
   *
   * @param self this gateway
   * @param settings the settings of the limit, empty for none
   * @param activePlan the active routing plan
   * @param clock the process's clock
   */
  ColdStartMonitor(
      final NodeId self,
      final Optional<ColdSettings> settings,
      final ActivePlan activePlan,
      final Clock clock) {
    this.settings = settings;
    this.activePlan = activePlan;
    this.clock = clock;
    this.view = new GatewayView(self);
    this.budget = new ColdBudget(endpoints, view, this::bound);
  }

  private OptionalInt bound(final ServiceName service) {
    final double perSecond =
        activePlan
            .current()
            .flatMap(plan -> plan.service(service))
            .map(ServicePlan::coldPerSecond)
            .orElse(0.0);
    return settings.isEmpty() || perSecond <= 0
        ? OptionalInt.empty()
        : OptionalInt.of(settings.get().bound(perSecond));
  }

  ColdBudget budget() {
    return budget;
  }

  /**
   * Adds the metrics of the budget.
   *
   * @param metrics the gateway's metrics
   */
  void addMetrics(final GatewayMetrics metrics) {
    metrics.gauge(
        "bulrushweir_gateway_cold_endpoints",
        "Endpoints that are cold.",
        () -> (double) endpoints.count(clock.nowMs()));
    metrics.gauge(
        "bulrushweir_gateway_kept_from_cold_endpoints",
        "Requests that were kept away from a cold endpoint since the start.",
        () -> (double) budget.keptAway());
    metrics.gauge(
        "bulrushweir_gateway_cold_gateways_counted",
        "Gateways among which the budgets of cold endpoints are divided.",
        () -> (double) view.size());
  }

  @Override
  public void observe(final EndpointRecord endpoint, final long version) {
    if (settings.isPresent()) {
      endpoints.observe(endpoint, version, clock.nowMs());
    }
  }

  @Override
  public void write(final RouterReport.Builder report, final long nowMs) {
    // That a report arrives is all that peers need to know.
  }

  @Override
  public void read(final NodeId sender, final RouterReport report, final long nowMs) {
    if (settings.isPresent()) {
      view.recordReport(sender, report.getLeaving(), nowMs);
    }
  }

  /**
   * Updates the gateways that may be running and logs what has changed.
   *
   * @param registered the gateways that the store listed when it was read last
   */
  void update(final Set<NodeId> registered) {
    if (settings.isEmpty()) {
      return;
    }
    final long nowMs = clock.nowMs();
    view.recordRegistered(registered, nowMs);
    budget.update(nowMs);
    logEndpoints("cold", endpoints.drainTurnedCold());
    logEndpoints("warm", endpoints.drainTurnedWarm(nowMs));
    logShare(view.noShareReason(nowMs));
  }

  /** Writes one line for all changes since the last call. */
  private static void logEndpoints(final String state, final List<EndpointId> changed) {
    if (!changed.isEmpty()) {
      logger.atInfo().log(
          "%d endpoints became %s: %s%s",
          changed.size(),
          state,
          changed.subList(0, Math.min(MAX_NAMED, changed.size())),
          changed.size() > MAX_NAMED ? " and others" : "");
    }
  }

  private void logShare(final Optional<NoShareReason> reason) {
    if (reason.equals(loggedReason)) {
      return;
    }
    loggedReason = reason;
    reason.ifPresentOrElse(
        it ->
            logger.at(it == NoShareReason.ISOLATED ? Level.WARNING : Level.INFO).log(
                "this gateway sends nothing to cold endpoints: %s", it),
        () ->
            logger.atInfo().log(
                "this gateway has a share of the budgets of cold endpoints; %d gateways count",
                view.size()));
  }
}
