package org.bulrushweir.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.NodeId;
import org.junit.jupiter.api.Test;

/** Tests what a router knows of endpoints. */
class EndpointTrackerTest {

  private static final EndpointId E1 = new EndpointId("e1");
  private static final NodeId PEER = new NodeId("peer");

  private final SimulatedRouters routers = new SimulatedRouters(1, 3);
  private final EndpointTracker tracker = routers.boards.getFirst();

  private boolean report(final long incarnation, final long sequence, final int inFlight) {
    return tracker.applyPeerReport(
        new PeerReport(
            PEER, incarnation, sequence, 1, Map.of(E1, new PeerLoad(inFlight, 0)), List.of()),
        0);
  }

  @Test
  void loadsOfPeersAreAdded() {
    tracker.recordAttempt(E1, List.of(), Optional.empty(), 0);
    assertTrue(report(7, 1, 4));
    assertEquals(5, tracker.inFlight(E1, 0));
  }

  @Test
  void reportThatWasOvertakenChangesNothing() {
    assertTrue(report(7, 2, 4));
    assertFalse(report(7, 1, 9));
    assertEquals(4, tracker.inFlight(E1, 0));
  }

  @Test
  void restartedPeerIsBelievedAtOnceEvenIfItsClockWentBack() {
    assertTrue(report(7, 100, 4));
    assertTrue(report(3, 1, 1));
    assertEquals(1, tracker.inFlight(E1, 0));
  }

  @Test
  void silentPeerIsForgotten() {
    report(7, 1, 4);
    assertEquals(0, tracker.inFlight(E1, 10_000));
  }

  @Test
  void loadsComeDownWhenRequestsLeave() {
    final List<PromptSegment> prompt = List.of(new PromptSegment(1, 100), new PromptSegment(2, 10));
    tracker.recordAttempt(E1, prompt, Optional.empty(), 0);
    tracker.recordPrefill(E1, prompt, 110, 0);
    tracker.recordOutcome(E1, 0, AttemptOutcome.ANSWERED, 0);
    assertEquals(0, tracker.inFlight(E1, 0));
    assertEquals(Map.of(), tracker.ownLoads());
  }

  private static List<PromptSegment> chat(final long own) {
    return List.of(new PromptSegment(1, 6_980), new PromptSegment(own, 100));
  }

  /** Load: two requests of chats that share a long document come within moments. */
  @Test
  void requestWaitsUntilItsEngineHasReadTheSharedPartsForAnotherOne() {
    assertEquals(0, tracker.recordAttempt(E1, chat(2), Optional.empty(), 0).awaitMs());
    final long awaitMs = tracker.recordAttempt(E1, chat(3), Optional.empty(), 10).awaitMs();
    assertTrue(awaitMs >= 90 && awaitMs <= 125, "7,080 tokens take 101 ms: " + awaitMs);
    tracker.recordPrefill(E1, chat(2), 7_080, 60);
    assertEquals(0, tracker.recordAttempt(E1, chat(4), Optional.empty(), 60).awaitMs());
  }

  @Test
  void nobodyWaitsForShortPartsNorForLong() {
    tracker.recordAttempt(
        E1, List.of(new PromptSegment(1, 300), new PromptSegment(2, 10)), Optional.empty(), 0);
    assertEquals(
        0,
        tracker
            .recordAttempt(
                E1,
                List.of(new PromptSegment(1, 300), new PromptSegment(3, 10)),
                Optional.empty(),
                0)
            .awaitMs());
    tracker.recordAttempt(
        E1, List.of(new PromptSegment(5, 90_000), new PromptSegment(6, 1)), Optional.empty(), 0);
    assertEquals(
        250,
        tracker
            .recordAttempt(
                E1,
                List.of(new PromptSegment(5, 90_000), new PromptSegment(7, 1)),
                Optional.empty(),
                0)
            .awaitMs());
  }

  /** Load: the same, but the requests come to different routers. */
  @Test
  void peersHearAtOnceOfLongPartsAndWaitForThem() {
    final SimulatedRouters two = new SimulatedRouters(2, 3);
    two.boards.getFirst().recordAttempt(E1, chat(2), Optional.empty(), 0);
    assertTrue(two.boards.getFirst().isReportUrgent());
    two.exchange(5);
    assertFalse(two.boards.getFirst().isReportUrgent());
    final long awaitMs =
        two.boards.getLast().recordAttempt(E1, chat(3), Optional.empty(), 10).awaitMs();
    assertTrue(awaitMs >= 90 && awaitMs <= 125, "waits " + awaitMs + " ms");
  }

  @Test
  void partsThatAreStillBeingReadAreNotHandedOver() {
    final EndpointId other = new EndpointId("e2");
    tracker.recordAttempt(E1, chat(2), Optional.empty(), 0);
    assertEquals(Optional.empty(), tracker.cacheSource(other, chat(3), 10));
    tracker.recordPrefill(E1, chat(2), 7_080, 100);
    assertEquals(
        Optional.of(E1), tracker.cacheSource(other, chat(3), 100).map(entry -> entry.id()));
  }
}
