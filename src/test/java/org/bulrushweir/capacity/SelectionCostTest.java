package org.bulrushweir.capacity;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.balancing.EndpointSelector;
import org.bulrushweir.balancing.EndpointTracker;
import org.bulrushweir.balancing.PeerLoad;
import org.bulrushweir.balancing.PeerReport;
import org.bulrushweir.balancing.PromptSegment;
import org.bulrushweir.balancing.RequestProfile;
import org.bulrushweir.balancing.SelectorSettings;
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.catalog.EndpointRecord;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Measures how long a gateway takes to select an endpoint. */
@Tag("capacity")
class SelectionCostTest {

  private static final ServiceName SERVICE = new ServiceName("assistant");
  private static final ZoneName ZONE = new ZoneName("zone-1");
  private static final int ENDPOINTS = 100;
  private static final int PEERS = 30;
  private static final int SELECTIONS = 20_000;
  private static final int REPETITIONS = 5;

  private static double micros(final boolean stated, final List<PromptSegment> prompt) {
    final EndpointDirectory directory = new EndpointDirectory();
    final Map<EndpointId, PeerLoad> loads = new HashMap<>();
    for (int number = 0; number < ENDPOINTS; number++) {
      final EndpointId id = new EndpointId("e" + number);
      directory.put(new EndpointRecord(id, SERVICE, "10.0.0.1", 80, ZONE, 6, false, 1));
      loads.put(id, new PeerLoad(1 + number % 3, 100, 1_000));
    }
    final EndpointTracker tracker = new EndpointTracker(directory, service -> 400_000, 69.8);
    for (int peer = 0; peer < PEERS; peer++) {
      tracker.applyPeerReport(
          new PeerReport(new NodeId("gateway-" + peer), 1, 1, 1, loads, List.of()), 1_000);
    }
    final EndpointSelector selector =
        new EndpointSelector(tracker, ZONE, new SelectorSettings(2, 69.8, stated));
    double best = Double.MAX_VALUE;
    long sink = 0;
    for (int repetition = 0; repetition < REPETITIONS; repetition++) {
      final long startNs = System.nanoTime();
      for (int number = 0; number < SELECTIONS; number++) {
        final RequestProfile profile = new RequestProfile(SERVICE, prompt, 100, 1_600);
        sink +=
            selector
                .choose(profile, number, Set.of(), 1_010 + number % 2)
                .orElseThrow()
                .value()
                .length();
      }
      best = Math.min(best, (System.nanoTime() - startNs) / 1e3 / SELECTIONS);
    }
    return sink == 0 ? 0 : best;
  }

  @Test
  void selectionAmongManyEndpoints() {
    final List<PromptSegment> prompt =
        List.of(new PromptSegment(1, 512), new PromptSegment(2, 8_000), new PromptSegment(3, 688));
    System.out.printf(
        "capacity: selection among %d endpoints with %d peers: call %.1f us, stated %.1f us;"
            + " prompt %.1f us, stated %.1f us%n",
        ENDPOINTS,
        PEERS,
        micros(false, List.of()),
        micros(true, List.of()),
        micros(false, prompt),
        micros(true, prompt));
  }
}
