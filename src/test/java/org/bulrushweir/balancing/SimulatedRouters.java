package org.bulrushweir.balancing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.catalog.EndpointRecord;

/** Routers that select among the same endpoints and exchange load reports. */
final class SimulatedRouters {

  static final ServiceName SERVICE = new ServiceName("assistant");
  static final long STARTED_AT_MS = 1_000;

  private static final ZoneName ZONE = new ZoneName("zone-1");
  private static final ZoneName OTHER_ZONE = new ZoneName("zone-2");
  private static final long KV_CAPACITY_TOKENS = 400_000;

  final EndpointDirectory directory = new EndpointDirectory();
  final List<EndpointTracker> trackers = new ArrayList<>();
  final List<EndpointSelector> selectors = new ArrayList<>();
  private final int slots;
  private int localEndpoints = Integer.MAX_VALUE;
  private long sequence;

  /**
   * Creates routers without in-flight requests.
   *
   * @param routers the number of routers
   * @param endpoints the number of endpoints
   */
  SimulatedRouters(final int routers, final int endpoints) {
    this(routers, endpoints, 128, new SelectorSettings(2, 69.8));
  }

  /**
   * Creates routers without in-flight requests.
   *
   * @param routers the number of routers
   * @param endpoints the number of endpoints
   * @param slots the number of slots of each endpoint
   * @param settings the settings of the selection
   */
  SimulatedRouters(
      final int routers, final int endpoints, final int slots, final SelectorSettings settings) {
    this.slots = slots;
    for (int number = 1; number <= endpoints; number++) {
      add(number, false);
    }
    for (int number = 0; number < routers; number++) {
      final EndpointTracker tracker =
          new EndpointTracker(directory, service -> KV_CAPACITY_TOKENS, 69.8);
      trackers.add(tracker);
      selectors.add(new EndpointSelector(tracker, ZONE, settings));
    }
  }

  /** Moves the endpoints after the first ones to another zone than that of the routers. */
  void keepLocal(final int first) {
    localEndpoints = first;
    final int endpoints = directory.all().size();
    for (int number = 1; number <= endpoints; number++) {
      add(number, false);
    }
  }

  /**
   * Registers an endpoint.
   *
   * @param number the number of the endpoint, which is part of its id
   * @param draining whether the endpoint is about to leave
   */
  void add(final int number, final boolean draining) {
    add(number, draining, STARTED_AT_MS);
  }

  /**
   * Registers an endpoint.
   *
   * @param number the number of the endpoint, which is part of its id
   * @param draining whether the endpoint is about to leave
   * @param startedAtMs the start of the endpoint's process, in Unix milliseconds
   */
  void add(final int number, final boolean draining, final long startedAtMs) {
    directory.put(
        new EndpointRecord(
            new EndpointId("e" + number),
            SERVICE,
            "10.0.0." + number,
            80,
            number <= localEndpoints ? ZONE : OTHER_ZONE,
            slots,
            draining,
            startedAtMs));
  }

  Optional<EndpointId> choose(final int router, final List<PromptSegment> prompt, final long draw) {
    return selectors.get(router).choose(SERVICE, prompt, draw, Set.of(), 0);
  }

  EndpointRecord record(final EndpointId endpoint) {
    return directory.find(endpoint).orElseThrow();
  }

  /** Sends a report of each router to all others. */
  void exchangeReports(final long nowMs) {
    apply(reports(), nowMs);
  }

  /** Returns a report of each router. */
  List<PeerReport> reports() {
    sequence++;
    final List<PeerReport> reports = new ArrayList<>();
    for (int from = 0; from < trackers.size(); from++) {
      reports.add(
          new PeerReport(
              new NodeId("router-" + from),
              1,
              sequence,
              1,
              trackers.get(from).ownLoads(),
              trackers.get(from).drainPlacements()));
    }
    return reports;
  }

  /** Applies a report of each router at all others. */
  void apply(final List<PeerReport> reports, final long nowMs) {
    for (int from = 0; from < trackers.size(); from++) {
      for (int to = 0; to < trackers.size(); to++) {
        if (to != from) {
          trackers.get(to).applyPeerReport(reports.get(from), nowMs);
        }
      }
    }
  }
}
