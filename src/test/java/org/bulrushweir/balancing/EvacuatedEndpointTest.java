package org.bulrushweir.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.catalog.EvacuatedZones;
import org.junit.jupiter.api.Test;

/** Tests the selection of endpoints while one of two zones is evacuated. */
class EvacuatedEndpointTest {

  private static final ServiceName SERVICE = new ServiceName("assistant");
  private static final ZoneName EVACUATED = new ZoneName("z0");
  private static final ZoneName OTHER = new ZoneName("z1");
  private static final List<PromptSegment> PROMPT =
      List.of(new PromptSegment(1, 7_000), new PromptSegment(2, 100));

  private final EndpointDirectory directory = new EndpointDirectory();
  private final EvacuatedZones zones = new EvacuatedZones(5_000);
  private final EndpointTracker tracker =
      new EndpointTracker(directory, service -> 400_000, 69.8, zones::accepts);
  private final EndpointSelector selector =
      new EndpointSelector(tracker, EVACUATED, new SelectorSettings(2, 69.8));

  private EndpointId add(final String id, final ZoneName zone) {
    final EndpointRecord endpoint =
        new EndpointRecord(new EndpointId(id), SERVICE, "10.0.0.1", 80, zone, 64, false, 1);
    directory.put(endpoint);
    return endpoint.id();
  }

  private Optional<EndpointId> choose(final List<PromptSegment> prompt) {
    return selector.choose(SERVICE, prompt, 7, Set.of(), 0);
  }

  @Test
  void cachedPromptOfAnEvacuatedZoneIsTransferredToAnotherZone() {
    final EndpointId source = add("e0", EVACUATED);
    final EndpointId target = add("e1", OTHER);
    tracker.recordCached(source, PROMPT, 0);
    assertEquals(Optional.of(source), choose(PROMPT));
    zones.put(EVACUATED, 0);
    assertEquals(Optional.of(target), choose(PROMPT));
    assertEquals(
        Optional.of(source), tracker.cacheSource(target, PROMPT, 0).map(EndpointRecord::id));
  }

  @Test
  void serviceWithoutEndpointsOutsideTheZoneHasNone() {
    add("e0", EVACUATED);
    zones.put(EVACUATED, 0);
    assertEquals(Optional.empty(), choose(List.of()));
    assertEquals(Optional.empty(), choose(PROMPT));
    assertEquals(new ServiceRoom(0, 0, 0), tracker.room(SERVICE, 0));
  }

  /** Guards against a load bound that idle endpoints of the evacuated zone hold down. */
  @Test
  void meanLoadIsThatOfTheUsableEndpoints() {
    add("e0", EVACUATED);
    final EndpointId other = add("e1", OTHER);
    zones.put(EVACUATED, 0);
    for (int request = 0; request < 10; request++) {
      tracker.recordAttempt(other, List.of(), Optional.empty(), 0);
    }
    assertEquals(10, tracker.recordAttempt(other, PROMPT, Optional.empty(), 0).meanInFlight());
    assertEquals(0, tracker.ownInFlightInZone(EVACUATED));
    assertEquals(11, tracker.ownInFlightInZone(OTHER));
  }

  @Test
  void endpointSelectedBeforeIsNotAcceptedAfterwards() {
    final EndpointId id = add("e0", EVACUATED);
    final EndpointRecord selected = directory.find(id).orElseThrow();
    assertTrue(tracker.accepts(selected, 0));
    zones.put(EVACUATED, 0);
    assertFalse(tracker.accepts(selected, 0));
    zones.remove(EVACUATED);
    directory.put(selected.asDraining());
    assertFalse(tracker.accepts(selected, 0));
  }
}
