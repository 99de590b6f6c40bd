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
class EndpointBoardTest {

  private static final EndpointId E1 = new EndpointId("e1");
  private static final NodeId PEER = new NodeId("peer");

  private final SimulatedRouters routers = new SimulatedRouters(1, 3);
  private final EndpointBoard board = routers.boards.getFirst();

  private boolean report(final long incarnation, final long sequence, final int inFlight) {
    return board.peerReported(
        new PeerReport(
            PEER, incarnation, sequence, 1, Map.of(E1, new PeerLoad(inFlight, 0)), List.of()),
        0);
  }

  @Test
  void loadsOfPeersAreAdded() {
    board.sent(E1, List.of(), Optional.empty(), 0);
    assertTrue(report(7, 1, 4));
    assertEquals(5, board.inFlight(E1, 0));
  }

  @Test
  void reportThatWasOvertakenChangesNothing() {
    assertTrue(report(7, 2, 4));
    assertFalse(report(7, 1, 9));
    assertEquals(4, board.inFlight(E1, 0));
  }

  @Test
  void restartedPeerIsBelievedAtOnceEvenIfItsClockWentBack() {
    assertTrue(report(7, 100, 4));
    assertTrue(report(3, 1, 1));
    assertEquals(1, board.inFlight(E1, 0));
  }

  @Test
  void silentPeerIsForgotten() {
    report(7, 1, 4);
    assertEquals(0, board.inFlight(E1, 10_000));
  }

  @Test
  void loadsComeDownWhenRequestsLeave() {
    final List<PromptPart> prompt = List.of(new PromptPart(1, 100), new PromptPart(2, 10));
    board.sent(E1, prompt, Optional.empty(), 0);
    board.promptRead(E1, prompt, 110, 0);
    board.left(E1, 0, AttemptOutcome.ANSWERED, 0);
    assertEquals(0, board.inFlight(E1, 0));
    assertEquals(Map.of(), board.ownLoads());
  }

  private static List<PromptPart> chat(final long own) {
    return List.of(new PromptPart(1, 6_980), new PromptPart(own, 100));
  }

  /** Load: two requests of chats that share a long document come within moments. */
  @Test
  void requestWaitsUntilItsEngineHasReadTheSharedPartsForAnotherOne() {
    assertEquals(0, board.sent(E1, chat(2), Optional.empty(), 0).awaitMs());
    final long awaitMs = board.sent(E1, chat(3), Optional.empty(), 10).awaitMs();
    assertTrue(awaitMs >= 90 && awaitMs <= 125, "7,080 tokens take 101 ms: " + awaitMs);
    board.promptRead(E1, chat(2), 7_080, 60);
    assertEquals(0, board.sent(E1, chat(4), Optional.empty(), 60).awaitMs());
  }

  @Test
  void nobodyWaitsForShortPartsNorForLong() {
    board.sent(E1, List.of(new PromptPart(1, 300), new PromptPart(2, 10)), Optional.empty(), 0);
    assertEquals(
        0,
        board
            .sent(E1, List.of(new PromptPart(1, 300), new PromptPart(3, 10)), Optional.empty(), 0)
            .awaitMs());
    board.sent(E1, List.of(new PromptPart(5, 90_000), new PromptPart(6, 1)), Optional.empty(), 0);
    assertEquals(
        250,
        board
            .sent(E1, List.of(new PromptPart(5, 90_000), new PromptPart(7, 1)), Optional.empty(), 0)
            .awaitMs());
  }

  /** Load: the same, but the requests come to different routers. */
  @Test
  void peersHearAtOnceOfLongPartsAndWaitForThem() {
    final SimulatedRouters two = new SimulatedRouters(2, 3);
    two.boards.getFirst().sent(E1, chat(2), Optional.empty(), 0);
    assertTrue(two.boards.getFirst().isReportUrgent());
    two.exchange(5);
    assertFalse(two.boards.getFirst().isReportUrgent());
    final long awaitMs = two.boards.getLast().sent(E1, chat(3), Optional.empty(), 10).awaitMs();
    assertTrue(awaitMs >= 90 && awaitMs <= 125, "waits " + awaitMs + " ms");
  }

  @Test
  void partsThatAreStillBeingReadAreNotHandedOver() {
    final EndpointId other = new EndpointId("e2");
    board.sent(E1, chat(2), Optional.empty(), 0);
    assertEquals(Optional.empty(), board.cacheSource(other, chat(3), 10));
    board.promptRead(E1, chat(2), 7_080, 100);
    assertEquals(Optional.of(E1), board.cacheSource(other, chat(3), 100).map(entry -> entry.id()));
  }
}
