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
    board.sent(E1, List.of(), Optional.empty());
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
    board.sent(E1, List.of(new PromptPart(1, 100), new PromptPart(2, 10)), Optional.empty());
    board.promptRead(E1, 110);
    board.left(E1, AttemptOutcome.ANSWERED, 0);
    assertEquals(0, board.inFlight(E1, 0));
    assertEquals(Map.of(), board.ownLoads());
  }
}
