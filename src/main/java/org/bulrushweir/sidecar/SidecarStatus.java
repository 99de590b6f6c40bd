package org.bulrushweir.sidecar;

import org.bulrushweir.metrics.FleetMetrics;
import org.bulrushweir.node.StatusSource;
import org.bulrushweir.placement.LoadedModel;
import org.bulrushweir.wire.generated.StatusReport;

/** Describes the status of a sidecar and its endpoint for status reports and metrics. */
public final class SidecarStatus implements StatusSource {

  /** The sidecar's core. */
  private final SidecarCore core;

  /** Supplies the models that the engine has loaded. */
  private final OrderService orders;

  /**
   * Creates the source and registers gauges of the load and the attempts in flight.
   *
   * @param core the sidecar's core
   * @param orders supplies the models that the engine has loaded
   * @param metrics the metrics of this process
   */
  public SidecarStatus(
      final SidecarCore core, final OrderService orders, final FleetMetrics metrics) {
    this.core = core;
    this.orders = orders;
    metrics.gauge(
        "bulrushweir_load", "The work that the endpoint carries, in work units.", core::load);
    metrics.gauge(
        "bulrushweir_in_flight", "How many attempts are queued or running.", core::inFlight);
  }

  @Override
  public void describe(final StatusReport.Builder report) {
    report.setInFlight(core.inFlight()).setLoad((int) core.load()).setLeaving(core.isLeaving());
    for (final LoadedModel model : orders.loadedModels()) {
      report.addModels(model.name() + "@" + model.version());
    }
  }
}
