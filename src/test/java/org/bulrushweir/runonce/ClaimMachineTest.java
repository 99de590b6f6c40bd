package org.bulrushweir.runonce;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.bulrushweir.delivery.RefusalKind;
import org.junit.jupiter.api.Test;

/** Tests for {@link ClaimMachine}. */
class ClaimMachineTest {

  private static final long START_BY_MS = 1_000;
  private static final ClaimRow CLAIM =
      new ClaimRow("nonce", "digest", "endpoint-1", 7, ClaimState.CLAIMED, null);

  private final ClaimMachine machine = new ClaimMachine(CLAIM, START_BY_MS);

  private static ClaimRow other(final String digest, final long incarnation) {
    return new ClaimRow("other", digest, "endpoint-1", incarnation, ClaimState.CLAIMED, null);
  }

  @Test
  void anotherBodyUnderTheSameKeyConflicts() {
    machine.start();
    assertEquals(
        List.of(new ClaimAction.Refuse(RefusalKind.CLAIM_CONFLICT)),
        machine.on(new ClaimEvent.Found(other("another", 7), 3), 0));
    assertTrue(machine.isFinished());
  }

  @Test
  void claimOfAnEarlierIncarnationIsUnknownAtOnce() {
    machine.start();
    assertInstanceOf(
        ClaimAction.ReplyUnknown.class,
        machine.on(new ClaimEvent.Found(other("digest", 6), 3), 0).getFirst());
  }

  @Test
  void claimAfterTheDeadlineIsReleasedAndNotRun() {
    machine.start();
    assertEquals(
        List.of(new ClaimAction.Refuse(RefusalKind.DEADLINE_UNREACHABLE), new ClaimAction.Read()),
        machine.on(new ClaimEvent.Written(1), START_BY_MS));
    assertEquals(
        List.of(new ClaimAction.Write(CLAIM.withResult(ClaimState.RELEASED, null), 1)),
        machine.on(new ClaimEvent.Found(CLAIM, 1), START_BY_MS));
  }

  @Test
  void lostAnswerIsReadBack() {
    machine.start();
    assertInstanceOf(
        ClaimAction.Wait.class, machine.on(new ClaimEvent.StoreFailed(true), 0).getFirst());
    assertEquals(List.of(new ClaimAction.Read()), machine.on(new ClaimEvent.WaitElapsed(), 100));
    assertEquals(List.of(new ClaimAction.Run()), machine.on(new ClaimEvent.Found(CLAIM, 1), 100));
  }

  @Test
  void unavailableStoreMeansNotRun() {
    machine.start();
    machine.on(new ClaimEvent.StoreFailed(false), 0);
    assertEquals(
        List.of(new ClaimAction.Refuse(RefusalKind.CLAIM_UNAVAILABLE)),
        machine.on(new ClaimEvent.StoreFailed(false), START_BY_MS));
  }
}
