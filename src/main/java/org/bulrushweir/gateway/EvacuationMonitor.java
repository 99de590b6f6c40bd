package org.bulrushweir.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.balancing.EndpointTracker;
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.catalog.EvacuatedZones;

/** Logs and measures what the evacuation of zones changes at this gateway. */
final class EvacuationMonitor {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * The time after which an evacuated zone without endpoints is logged as unknown, in milliseconds:
   * a gateway that starts reads the registrations at about the same time as the zone's row.
   */
  private static final long UNKNOWN_AFTER_MS = 2_000;

  /** The shortest time between two log lines on services without a usable zone, in seconds. */
  private static final int STRANDED_LOG_INTERVAL_S = 10;

  private final Map<ZoneName, Evacuation> logged = new HashMap<>();
  private final EvacuatedZones zones;
  private final EndpointDirectory directory;
  private final EndpointTracker tracker;
  private final Clock clock;

  /**
   * Creates a monitor.
   *
   * @param zones the evacuated zones
   * @param directory lists the registered endpoints
   * @param tracker knows the requests at the endpoints
   * @param clock the process's clock
   */
  EvacuationMonitor(
      final EvacuatedZones zones,
      final EndpointDirectory directory,
      final EndpointTracker tracker,
      final Clock clock) {
    this.zones = zones;
    this.directory = directory;
    this.tracker = tracker;
    this.clock = clock;
  }

  /**
   * Adds the gauges for operators.
   *
   * @param metrics the gateway's metrics
   */
  void addGauges(final GatewayMetrics metrics) {
    metrics.gauge(
        "bulrushweir_gateway_evacuated_zones",
        "Availability zones that get no new requests, as operators evacuate them.",
        () -> zones.zones().size());
    metrics.gauge(
        "bulrushweir_gateway_evacuated_zone_requests",
        "Requests of this gateway that still run in evacuated zones.",
        () -> zones.zones().stream().mapToInt(this::requestsIn).sum());
  }

  /** Ends the evacuations that have lapsed and logs what has changed; called periodically. */
  void expire() {
    zones.expire();
    update();
    logged.forEach(this::checkKnown);
    logStranded();
  }

  /** Logs what the store's table has changed. */
  void update() {
    update("the store's table");
  }

  /**
   * Logs what the report of a peer has changed.
   *
   * @param peer the peer
   */
  void update(final NodeId peer) {
    update("a report of peer " + peer + ", as the store does not confirm its table");
  }

  private void update(final String source) {
    final long nowMs = clock.nowMs();
    final Set<ZoneName> evacuated = zones.zones();
    for (final ZoneName zone : evacuated) {
      if (!logged.containsKey(zone)) {
        logged.put(zone, new Evacuation(nowMs, endpointsIn(zone) > 0));
        logger.atWarning().log(
            "zone %s is evacuated by %s, noticed at %s: its %d endpoints get no new requests,"
                + " %d requests of this gateway finish there",
            zone, source, Instant.ofEpochMilli(nowMs), endpointsIn(zone), requestsIn(zone));
      }
    }
    logged
        .entrySet()
        .removeIf(entry -> !evacuated.contains(entry.getKey()) && logEnd(entry, nowMs));
  }

  private boolean logEnd(final Map.Entry<ZoneName, Evacuation> ended, final long nowMs) {
    logger.atInfo().log(
        "zone %s is no longer evacuated, after %d ms: its %d endpoints get requests again",
        ended.getKey(), nowMs - ended.getValue().sinceMs(), endpointsIn(ended.getKey()));
    return true;
  }

  private void checkKnown(final ZoneName zone, final Evacuation evacuation) {
    if (evacuation.known || clock.nowMs() - evacuation.sinceMs < UNKNOWN_AFTER_MS) {
      return;
    }
    evacuation.known = true;
    if (endpointsIn(zone) == 0) {
      logger.atWarning().log(
          "the evacuation of zone %s is without effect so far: no endpoint of this zone is"
              + " registered",
          zone);
    }
  }

  private void logStranded() {
    if (logged.isEmpty()) {
      return;
    }
    final Set<ServiceName> usable =
        directory.all().stream()
            .filter(endpoint -> !endpoint.draining() && !zones.isEvacuated(endpoint.zone()))
            .map(EndpointRecord::service)
            .collect(Collectors.toSet());
    final Set<String> stranded = new TreeSet<>();
    directory.all().stream()
        .map(EndpointRecord::service)
        .filter(service -> !usable.contains(service))
        .forEach(service -> stranded.add(service.value()));
    if (!stranded.isEmpty()) {
      logger.atWarning().atMostEvery(STRANDED_LOG_INTERVAL_S, TimeUnit.SECONDS).log(
          "requests for services %s are refused as not run: all of their endpoints are in evacuated"
              + " zones or drain",
          stranded);
    }
  }

  private long endpointsIn(final ZoneName zone) {
    return directory.all().stream().filter(endpoint -> endpoint.zone().equals(zone)).count();
  }

  private int requestsIn(final ZoneName zone) {
    return tracker.ownInFlightInZone(zone);
  }

  /** An evacuation that was logged. */
  private static final class Evacuation {
    private final long sinceMs;
    private boolean known;

    Evacuation(final long sinceMs, final boolean known) {
      this.sinceMs = sinceMs;
      this.known = known;
    }

    long sinceMs() {
      return sinceMs;
    }
  }
}
