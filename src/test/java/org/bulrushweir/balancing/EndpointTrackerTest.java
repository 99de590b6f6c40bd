package org.bulrushweir.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.catalog.EndpointRecord;
import org.junit.jupiter.api.Test;

/** Tests the tracking of the load and the prefix caches of endpoints. */
class EndpointTrackerTest {

  private static final EndpointId E1 = new EndpointId("e1");
  private static final NodeId PEER = new NodeId("peer");

  private final SimulatedRouters routers = new SimulatedRouters(1, 3);
  private final EndpointTracker tracker = routers.trackers.getFirst();

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
  void outdatedReportIsIgnored() {
    assertTrue(report(7, 2, 4));
    assertFalse(report(7, 1, 9));
    assertEquals(4, tracker.inFlight(E1, 0));
  }

  @Test
  void reportOfNewIncarnationAppliesEvenIfTheClockWentBack() {
    assertTrue(report(7, 100, 4));
    assertTrue(report(3, 1, 1));
    assertEquals(1, tracker.inFlight(E1, 0));
  }

  /** A runner that starts again under its id holds nothing of what it held before. */
  @Test
  void restartedEndpointHasNeitherLoadNorCacheNorFailures() {
    final PlacementSnapshot before = tracker.recordAttempt(E1, chat(2), Optional.empty(), 0);
    tracker.recordPrefillEnd(E1, before.startedAtMs(), chat(2), before.prefillTokens(), 0);
    for (int attempt = 0; attempt < 3; attempt++) {
      tracker.recordAttempt(E1, List.of(), Optional.empty(), 0);
      tracker.recordOutcome(E1, before.startedAtMs(), 0, AttemptOutcome.FAILED, 0);
    }
    report(7, 1, 4);
    routers.add(1, false, SimulatedRouters.STARTED_AT_MS + 1);
    assertEquals(0, tracker.recordAttempt(E1, chat(3), Optional.empty(), 1).cachedTokens());
    assertEquals(1, tracker.inFlight(E1, 1));
    assertFalse(tracker.candidates(SimulatedRouters.SERVICE, 0).getFirst().isSuspect(1));
  }

  /** Attempts that break when their endpoint restarts must not count against its new run. */
  @Test
  void attemptsOfTheRunThatEndedLeaveTheNewRunAlone() {
    final PlacementSnapshot old = tracker.recordAttempt(E1, chat(2), Optional.empty(), 0);
    routers.add(1, false, SimulatedRouters.STARTED_AT_MS + 1);
    final PlacementSnapshot now = tracker.recordAttempt(E1, chat(3), Optional.empty(), 1);
    tracker.recordPrefillEnd(E1, old.startedAtMs(), chat(2), old.prefillTokens(), 2);
    for (int attempt = 0; attempt < 3; attempt++) {
      tracker.recordOutcome(
          E1, old.startedAtMs(), old.prefillTokens(), AttemptOutcome.UNREACHABLE, 3);
    }
    assertEquals(1, tracker.inFlight(E1, 3));
    assertEquals(Map.of(E1, new PeerLoad(1, now.prefillTokens())), tracker.ownLoads());
    assertFalse(tracker.candidates(SimulatedRouters.SERVICE, 0).getFirst().isSuspect(3));
  }

  @Test
  void loadOfSilentPeerExpires() {
    report(7, 1, 4);
    assertEquals(0, tracker.inFlight(E1, 10_000));
  }

  @Test
  void loadDropsWhenRequestsEnd() {
    final List<PromptSegment> prompt = List.of(new PromptSegment(1, 100), new PromptSegment(2, 10));
    tracker.recordAttempt(E1, prompt, Optional.empty(), 0);
    tracker.recordPrefillEnd(E1, SimulatedRouters.STARTED_AT_MS, prompt, 110, 0);
    tracker.recordOutcome(E1, SimulatedRouters.STARTED_AT_MS, 0, AttemptOutcome.ANSWERED, 0);
    assertEquals(0, tracker.inFlight(E1, 0));
    assertEquals(Map.of(), tracker.ownLoads());
  }

  /**
   * A gateway that starts asks the engines what they hold. A full engine lists more than the model
   * assumes that it keeps; what the model drops of it is prefilled again somewhere else.
   */
  @Test
  void listOfFullEngineIsRecordedWhole() {
    final List<PromptSegment> listed = new ArrayList<>();
    for (int document = 0; document < 50; document++) {
      listed.add(new PromptSegment(100 + document, 8_000));
    }
    tracker.recordCached(E1, listed, 0);
    for (final PromptSegment document : listed) {
      final List<PromptSegment> prompt = List.of(document, new PromptSegment(1, 100));
      assertEquals(
          Optional.of(E1),
          tracker.cacheSource(new EndpointId("e2"), prompt, 0).map(EndpointRecord::id));
    }
  }

  private static List<PromptSegment> chat(final long ownSegment) {
    return List.of(new PromptSegment(1, 6_980), new PromptSegment(ownSegment, 100));
  }

  /**
   * Two requests of chats that share a long document arrive within milliseconds. Without the wait,
   * the engine prefills the document twice.
   */
  @Test
  void requestWaitsUntilSharedSegmentsArePrefilledForAnotherRequest() {
    assertEquals(0, tracker.recordAttempt(E1, chat(2), Optional.empty(), 0).awaitMs());
    final long awaitMs = tracker.recordAttempt(E1, chat(3), Optional.empty(), 10).awaitMs();
    assertTrue(awaitMs >= 90 && awaitMs <= 125, "7,080 tokens take 101 ms: " + awaitMs);
    tracker.recordPrefillEnd(E1, SimulatedRouters.STARTED_AT_MS, chat(2), 7_080, 60);
    assertEquals(0, tracker.recordAttempt(E1, chat(4), Optional.empty(), 60).awaitMs());
  }

  @Test
  void waitIsSkippedForShortSegmentsAndLimitedForLongOnes() {
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

  /**
   * The requests arrive at different routers. Unless the first router reports its placement at
   * once, the second one has the document prefilled again.
   */
  @Test
  void peersReceiveLongPlacementsAtOnceAndWaitForThem() {
    final SimulatedRouters two = new SimulatedRouters(2, 3);
    two.trackers.getFirst().recordAttempt(E1, chat(2), Optional.empty(), 0);
    assertTrue(two.trackers.getFirst().isReportUrgent());
    two.exchangeReports(5);
    assertFalse(two.trackers.getFirst().isReportUrgent());
    final long awaitMs =
        two.trackers.getLast().recordAttempt(E1, chat(3), Optional.empty(), 10).awaitMs();
    assertTrue(awaitMs >= 90 && awaitMs <= 125, "waits " + awaitMs + " ms");
  }

  @Test
  void segmentsInPrefillAreNotTransferred() {
    final EndpointId other = new EndpointId("e2");
    tracker.recordAttempt(E1, chat(2), Optional.empty(), 0);
    assertEquals(Optional.empty(), tracker.cacheSource(other, chat(3), 10));
    tracker.recordPrefillEnd(E1, SimulatedRouters.STARTED_AT_MS, chat(2), 7_080, 100);
    assertEquals(
        Optional.of(E1), tracker.cacheSource(other, chat(3), 100).map(entry -> entry.id()));
  }
}
