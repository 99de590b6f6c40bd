package org.bulrushweir.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.FindingCollector;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.catalog.EvacuatedZones;
import org.bulrushweir.platform.EvacuationDecoder;
import org.bulrushweir.store.RowChange;

/** Updates the evacuated zones from the store's table that also holds the configuration. */
final class EvacuationListener implements TableListener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The shortest time between two log lines on rows without effect, in seconds. */
  private static final int IGNORED_LOG_INTERVAL_S = 1;

  private final EvacuationDecoder decoder = new EvacuationDecoder();
  private final EvacuatedZones zones;
  private final EvacuationMonitor monitor;
  private final Clock clock;

  /**
   * Creates the listener.
   *
   * @param zones the evacuated zones to update
   * @param monitor logs what changes
   * @param clock the process's clock
   */
  EvacuationListener(
      final EvacuatedZones zones, final EvacuationMonitor monitor, final Clock clock) {
    this.zones = zones;
    this.monitor = monitor;
    this.clock = clock;
  }

  @Override
  public void onSnapshot(final List<RowChange> rows) {
    final List<ZoneName> listed = new ArrayList<>();
    for (final RowChange row : rows) {
      if (row.value().isPresent()) {
        zone(row).ifPresent(listed::add);
      }
    }
    zones.replaceAll(listed, clock.nowMs());
    monitor.update();
  }

  @Override
  public void onChanges(final List<RowChange> rows) {
    for (final RowChange row : rows) {
      zone(row).ifPresent(zone -> apply(zone, row));
    }
    monitor.update();
  }

  private void apply(final ZoneName zone, final RowChange row) {
    if (row.value().isPresent()) {
      zones.put(zone, clock.nowMs());
    } else {
      zones.remove(zone);
    }
  }

  private Optional<ZoneName> zone(final RowChange row) {
    if (!decoder.isEvacuation(row.key())) {
      return Optional.empty();
    }
    final FindingCollector findings = new FindingCollector();
    final Optional<ZoneName> zone = decoder.decode(row.key(), findings);
    if (!findings.isEmpty() && row.value().isPresent()) {
      logger.atWarning().atMostEvery(IGNORED_LOG_INTERVAL_S, TimeUnit.SECONDS).log(
          "ignoring an evacuation of row version %d: %s", row.version(), findings.findings());
    }
    return zone;
  }

  @Override
  public void onUpToDate(final long confirmedAtMs) {
    zones.recordConfirmation(confirmedAtMs);
  }

  @Override
  public void onRestored(final long answeredUntilMs) {
    zones.recordRestoration();
  }

  @Override
  public void onUnreachable(final long answeredUntilMs) {
    // What is known stays in force; the age of the last confirmation tells whether peers count.
  }
}
