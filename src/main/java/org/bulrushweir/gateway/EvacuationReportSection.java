package org.bulrushweir.gateway;

import java.util.List;
import org.bulrushweir.api.Identifiers;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.catalog.EvacuatedZones;
import org.bulrushweir.wire.generated.RouterReport;

/** Tells peers which zones this gateway has read to be evacuated, and applies what they tell. */
final class EvacuationReportSection implements ReportSection {

  /** The number of zones in a report, which bounds its size; a region has only a few. */
  static final int MAX_ZONES = 16;

  private final EvacuatedZones zones;
  private final EvacuationMonitor monitor;

  /**
   * Creates the section.
   *
   * @param zones the evacuated zones
   * @param monitor logs what changes
   */
  EvacuationReportSection(final EvacuatedZones zones, final EvacuationMonitor monitor) {
    this.zones = zones;
    this.monitor = monitor;
  }

  @Override
  public void write(final RouterReport.Builder report, final long nowMs) {
    zones.read(MAX_ZONES).forEach(zone -> report.addEvacuatedZones(zone.value()));
  }

  @Override
  public void read(final NodeId sender, final RouterReport report, final long nowMs) {
    final List<String> names = report.getEvacuatedZonesList();
    if (names.isEmpty()) {
      return;
    }
    names.stream()
        .limit(MAX_ZONES)
        .filter(Identifiers::isValid)
        .forEach(name -> zones.recordClaim(new ZoneName(name), nowMs));
    monitor.update(sender);
  }
}
