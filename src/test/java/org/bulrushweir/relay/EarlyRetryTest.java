package org.bulrushweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.bulrushweir.api.EndpointId;
import org.junit.jupiter.api.Test;

/** Tests requests whose endpoint is silent for so long that another one may still be in time. */
class EarlyRetryTest {

  private static final AttemptId FIRST = new AttemptId(1);
  private static final AttemptId SECOND = new AttemptId(2);
  private static final EndpointId E2 = new EndpointId("e2");
  private static final long EARLY_MS = 90;
  private static final long STALL_MS = 570;
  private static final RelayLimits LIMITS =
      new RelayLimits(true, false, 3, 2_000, STALL_MS, STALL_MS, EARLY_MS);
  private static final List<RelayAction> REPLACED =
      List.of(new RelayAction.Abort(FIRST), new RelayAction.Send(SECOND, E2, false));

  private final ScriptedEndpoints endpoints = new ScriptedEndpoints(3, 1);
  private final RelayMachine machine = new RelayMachine(LIMITS, endpoints);

  private void send() {
    machine.start(0);
    machine.on(new RelayEvent.Sent(FIRST), 0);
  }

  /** After 570 ms of silence, a second attempt can't meet a target of 190 ms any more. */
  @Test
  void silentAttemptIsReplacedBeforeItIsStalled() {
    endpoints.allowEarlyRetries(1);
    send();
    assertEquals(EARLY_MS, machine.nextTickMs());
    assertEquals(REPLACED, machine.on(new RelayEvent.Tick(), EARLY_MS));
  }

  /** The second attempt is not cut short: it might be the last one that can end. */
  @Test
  void secondAttemptHasTheUsualTime() {
    endpoints.allowEarlyRetries(2);
    send();
    machine.on(new RelayEvent.Tick(), EARLY_MS);
    machine.on(new RelayEvent.Sent(SECOND), EARLY_MS);
    assertEquals(EARLY_MS + STALL_MS, machine.nextTickMs());
    assertEquals(List.of(), machine.on(new RelayEvent.Tick(), 3 * EARLY_MS));
  }

  /** Without budget for early retries the request goes on, and may still be retried as usual. */
  @Test
  void attemptGoesOnWithoutBudgetForEarlyRetries() {
    send();
    assertEquals(List.of(), machine.on(new RelayEvent.Tick(), EARLY_MS));
    assertEquals(STALL_MS, machine.nextTickMs());
    assertEquals(REPLACED, machine.on(new RelayEvent.Tick(), STALL_MS));
  }

  /** A request that fails uses the part of the budget that is kept for it. */
  @Test
  void failedAttemptUsesTheUsualBudget() {
    send();
    assertEquals(
        List.of(new RelayAction.Send(SECOND, E2, false)),
        machine.on(new RelayEvent.Broken(FIRST, "reset"), EARLY_MS));
  }

  /** Requests that may run only once are never sent again. */
  @Test
  void nonIdempotentRequestIsNotReplaced() {
    endpoints.allowEarlyRetries(1);
    final RelayMachine unsafe =
        new RelayMachine(
            new RelayLimits(false, false, 1, 2_000, STALL_MS, STALL_MS, EARLY_MS), endpoints);
    unsafe.start(0);
    unsafe.on(new RelayEvent.Sent(FIRST), 0);
    assertEquals(2_000, unsafe.nextTickMs());
    assertEquals(List.of(), unsafe.on(new RelayEvent.Tick(), EARLY_MS));
  }

  /** Guards against an early retry that takes the only one, so that a failure can't be mended. */
  @Test
  void lastPossibleExecutionIsKeptForFailures() {
    final RelayMachine twice =
        new RelayMachine(
            new RelayLimits(true, false, 2, 2_000, STALL_MS, STALL_MS, EARLY_MS), endpoints);
    twice.start(0);
    twice.on(new RelayEvent.Sent(FIRST), 0);
    assertEquals(List.of(), twice.on(new RelayEvent.Tick(), EARLY_MS));
    assertEquals(
        List.of(new RelayAction.Send(SECOND, E2, false)),
        twice.on(new RelayEvent.Broken(FIRST, "reset"), EARLY_MS + 1));
  }
}
