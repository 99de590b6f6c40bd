package org.bulrushweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.bulrushweir.api.EndpointId;
import org.junit.jupiter.api.Test;

/** Tests the state machine of a request. */
class RelayMachineTest {

  private static final AttemptId FIRST = new AttemptId(1);
  private static final AttemptId SECOND = new AttemptId(2);
  private static final EndpointId E1 = new EndpointId("e1");
  private static final EndpointId E2 = new EndpointId("e2");
  private static final RelayLimits UNSAFE = new RelayLimits(false, false, 1, 1_000, 400, 400);
  private static final RelayLimits SAFE = new RelayLimits(true, false, 2, 1_000, 400, 400);
  private static final RelayLimits RESUMABLE = new RelayLimits(true, true, 2, 4_000, 1_200, 1_000);
  private static final ResponseHead OK = new ResponseHead(200, true, false, 0);
  private static final ResponseHead ERROR = new ResponseHead(500, true, false, 0);
  private static final ResponseHead REFUSED = new ResponseHead(503, true, true, 300);
  private static final ResponseHead UNPROVEN = new ResponseHead(503, true, false, 0);
  private static final ResponseHead FORGED = new ResponseHead(200, false, false, 0);

  private static RelayMachine started(final RelayLimits limits, final EndpointSource endpoints) {
    final RelayMachine machine = new RelayMachine(limits, endpoints);
    assertEquals(List.of(new RelayAction.Send(FIRST, E1, false)), machine.start(0));
    return machine;
  }

  private static RelayMachine sent(final RelayLimits limits, final EndpointSource endpoints) {
    final RelayMachine machine = started(limits, endpoints);
    assertEquals(List.of(), machine.on(new RelayEvent.Sent(FIRST), 1));
    return machine;
  }

  private static RefusalReason reason(final List<RelayAction> actions) {
    return assertInstanceOf(RelayAction.Refuse.class, actions.getLast()).refusal().reason();
  }

  @Test
  void completeResponseIsForwarded() {
    final RelayMachine machine = sent(UNSAFE, new ScriptedEndpoints(2, 1));
    assertEquals(
        List.of(new RelayAction.Forward(FIRST)),
        machine.on(new RelayEvent.HeadReceived(FIRST, OK), 10));
    assertEquals(List.of(new RelayAction.Complete()), machine.on(new RelayEvent.Ended(FIRST), 20));
    assertTrue(machine.isFinished());
  }

  @Test
  void requestWithoutEndpointsIsRefusedAtOnce() {
    final RelayMachine machine = new RelayMachine(UNSAFE, new ScriptedEndpoints(0, 1));
    final List<RelayAction> actions = machine.start(0);
    assertEquals(RefusalReason.NOT_RUN, reason(actions));
    assertEquals(
        ScriptedEndpoints.RETRY_AFTER_MS,
        ((RelayAction.Refuse) actions.getLast()).refusal().retryAfterMs());
  }

  @Test
  void nonIdempotentRequestThatMayHaveRunIsNotRetried() {
    final RelayMachine machine = sent(UNSAFE, new ScriptedEndpoints(2, 5));
    assertEquals(
        RefusalReason.FAILED, reason(machine.on(new RelayEvent.Broken(FIRST, "reset"), 10)));
  }

  @Test
  void nonIdempotentRequestThatWasNotSentIsSentToAnotherEndpoint() {
    final RelayMachine machine = started(UNSAFE, new ScriptedEndpoints(2, 0));
    assertEquals(
        List.of(new RelayAction.Send(SECOND, E2, false)),
        machine.on(new RelayEvent.NotSent(FIRST, "refused"), 10));
  }

  /** Guards against a refusal although many endpoints of one zone stop accepting at once. */
  @Test
  void endpointsThatStopAcceptingRequestsDoNotUseUpTheUnsentAttempts() {
    final RelayMachine machine = started(UNSAFE, new ScriptedEndpoints(10, 0));
    for (int attempt = 1; attempt < 10; attempt++) {
      assertEquals(
          List.of(
              new RelayAction.Send(
                  new AttemptId(attempt + 1), new EndpointId("e" + (attempt + 1)), false)),
          machine.on(new RelayEvent.NotAccepted(new AttemptId(attempt), "evacuated"), 10));
    }
    assertEquals(
        RefusalReason.NOT_RUN,
        reason(machine.on(new RelayEvent.NotAccepted(new AttemptId(10), "evacuated"), 10)));
  }

  @Test
  void provenRefusalIsRetriedWithinTheBudget() {
    final RelayMachine machine = sent(UNSAFE, new ScriptedEndpoints(2, 1));
    assertEquals(
        List.of(new RelayAction.Abort(FIRST), new RelayAction.Send(SECOND, E2, false)),
        machine.on(new RelayEvent.HeadReceived(FIRST, REFUSED), 10));
    machine.on(new RelayEvent.Sent(SECOND), 11);
    final List<RelayAction> actions = machine.on(new RelayEvent.HeadReceived(SECOND, REFUSED), 12);
    assertEquals(RefusalReason.NOT_RUN, reason(actions));
    assertEquals(300, ((RelayAction.Refuse) actions.getLast()).refusal().retryAfterMs());
  }

  @Test
  void unprovenRefusalIsReportedAsFailure() {
    final RelayMachine machine = sent(UNSAFE, new ScriptedEndpoints(2, 1));
    assertEquals(
        RefusalReason.FAILED, reason(machine.on(new RelayEvent.HeadReceived(FIRST, UNPROVEN), 10)));
  }

  @Test
  void unauthenticSuccessIsNotForwarded() {
    final RelayMachine machine = sent(UNSAFE, new ScriptedEndpoints(2, 1));
    assertEquals(
        RefusalReason.FAILED, reason(machine.on(new RelayEvent.HeadReceived(FIRST, FORGED), 10)));
  }

  @Test
  void errorOfIdempotentRequestIsRetriedAndThenForwarded() {
    final RelayMachine machine = sent(SAFE, new ScriptedEndpoints(2, 1));
    assertEquals(
        List.of(new RelayAction.Abort(FIRST), new RelayAction.Send(SECOND, E2, false)),
        machine.on(new RelayEvent.HeadReceived(FIRST, ERROR), 10));
    assertEquals(
        List.of(new RelayAction.Forward(SECOND)),
        machine.on(new RelayEvent.HeadReceived(SECOND, ERROR), 20));
  }

  @Test
  void errorIsForwardedWhenTheBudgetIsExhausted() {
    final RelayMachine machine = sent(SAFE, new ScriptedEndpoints(2, 0));
    assertEquals(
        List.of(new RelayAction.Forward(FIRST)),
        machine.on(new RelayEvent.HeadReceived(FIRST, ERROR), 10));
  }

  @Test
  void brokenStreamResumesAtAnotherEndpoint() {
    final RelayMachine machine = sent(RESUMABLE, new ScriptedEndpoints(2, 1));
    machine.on(new RelayEvent.HeadReceived(FIRST, OK), 10);
    assertEquals(
        List.of(new RelayAction.Send(SECOND, E2, true)),
        machine.on(new RelayEvent.Broken(FIRST, "reset"), 20));
    assertEquals(
        List.of(new RelayAction.ForwardResumed(SECOND)),
        machine.on(new RelayEvent.HeadReceived(SECOND, OK), 30));
    assertEquals(List.of(new RelayAction.Complete()), machine.on(new RelayEvent.Ended(SECOND), 40));
  }

  /** Guards against a resumed stream inside an error that is already forwarded. */
  @Test
  void errorThatBreaksOffIsNotResumed() {
    final ScriptedEndpoints endpoints = new ScriptedEndpoints(3, 0);
    final RelayMachine machine = sent(RESUMABLE, endpoints);
    assertEquals(
        List.of(new RelayAction.Forward(FIRST)),
        machine.on(new RelayEvent.HeadReceived(FIRST, ERROR), 10));
    endpoints.allowRetries(5);
    assertEquals(List.of(), machine.on(new RelayEvent.Tick(), 3_000));
    assertEquals(
        List.of(new RelayAction.Truncate("reset")),
        machine.on(new RelayEvent.Broken(FIRST, "reset"), 3_010));
  }

  /** Guards against a response of another kind that ends a stream as if it were complete. */
  @Test
  void streamIsResumedOnlyByTheSameStatus() {
    final RelayMachine machine = sent(RESUMABLE, new ScriptedEndpoints(2, 1));
    machine.on(new RelayEvent.HeadReceived(FIRST, OK), 10);
    machine.on(new RelayEvent.Broken(FIRST, "reset"), 20);
    final List<RelayAction> actions =
        machine.on(new RelayEvent.HeadReceived(SECOND, new ResponseHead(204, true, false, 0)), 30);
    assertEquals(
        List.of(
            new RelayAction.Abort(SECOND),
            new RelayAction.Truncate("the stream could not be resumed: status 204")),
        actions);
  }

  @Test
  void stalledStreamIsAbortedBeforeItResumesAtAnotherEndpoint() {
    final RelayMachine machine = sent(RESUMABLE, new ScriptedEndpoints(2, 1));
    machine.on(new RelayEvent.HeadReceived(FIRST, OK), 10);
    assertEquals(1_010, machine.nextTickMs());
    assertEquals(
        List.of(new RelayAction.Abort(FIRST), new RelayAction.Send(SECOND, E2, true)),
        machine.on(new RelayEvent.Tick(), 1_010));
  }

  @Test
  void stalledAttemptContinuesWithoutAnotherEndpoint() {
    final RelayMachine machine = sent(SAFE, new ScriptedEndpoints(1, 1));
    assertEquals(List.of(), machine.on(new RelayEvent.Tick(), 500));
    assertEquals(
        List.of(new RelayAction.Forward(FIRST)),
        machine.on(new RelayEvent.HeadReceived(FIRST, OK), 600));
  }

  @Test
  void brokenStreamThatMayNotBeResumedIsCutOff() {
    final RelayLimits limits = new RelayLimits(false, false, 1, 4_000, 1_200, 1_000);
    final RelayMachine machine = sent(limits, new ScriptedEndpoints(2, 5));
    machine.on(new RelayEvent.HeadReceived(FIRST, OK), 10);
    assertEquals(
        List.of(new RelayAction.Truncate("reset")),
        machine.on(new RelayEvent.Broken(FIRST, "reset"), 20));
  }

  @Test
  void callerIsRefusedAtTheDeadline() {
    final RelayMachine machine = sent(UNSAFE, new ScriptedEndpoints(1, 0));
    assertEquals(1_000, machine.nextTickMs());
    final List<RelayAction> actions = machine.on(new RelayEvent.Tick(), 1_000);
    assertEquals(new RelayAction.Abort(FIRST), actions.getFirst());
    assertEquals(RefusalReason.TIMED_OUT, reason(actions));
  }

  @Test
  void unsentRequestIsReportedAsNotRunAtItsDeadline() {
    final RelayMachine machine = started(UNSAFE, new ScriptedEndpoints(1, 0));
    assertEquals(RefusalReason.NOT_RUN, reason(machine.on(new RelayEvent.Tick(), 1_000)));
  }

  @Test
  void disconnectOfTheCallerAbortsTheAttempt() {
    final RelayMachine machine = sent(SAFE, new ScriptedEndpoints(2, 5));
    assertEquals(
        List.of(new RelayAction.Abort(FIRST)), machine.on(new RelayEvent.CallerDisconnected(), 5));
    assertEquals(List.of(), machine.on(new RelayEvent.Broken(FIRST, "closed"), 6));
  }

  @Test
  void eventsOfEndedAttemptsAreIgnored() {
    final RelayMachine machine = sent(SAFE, new ScriptedEndpoints(2, 1));
    machine.on(new RelayEvent.Tick(), 401);
    assertEquals(List.of(), machine.on(new RelayEvent.HeadReceived(FIRST, OK), 402));
    assertEquals(List.of(), machine.on(new RelayEvent.Ended(FIRST), 403));
    assertEquals(
        List.of(new RelayAction.Forward(SECOND)),
        machine.on(new RelayEvent.HeadReceived(SECOND, OK), 404));
  }

  /**
   * Guards against requests at an endpoint that the end of a process cuts off without an answer.
   */
  @Test
  void requestAtAnEndpointIsAnsweredAsUnknownWhenTheProcessExits() {
    final RelayMachine machine = sent(UNSAFE, new ScriptedEndpoints(2, 1));
    final List<RelayAction> actions = machine.on(new RelayEvent.ProcessExits(), 10);
    assertEquals(new RelayAction.Abort(FIRST), actions.getFirst());
    assertEquals(RefusalReason.FAILED, reason(actions));
    assertTrue(machine.isFinished());
  }

  @Test
  void requestThatIsNotSentIsRefusedAsNotRunWhenTheProcessExits() {
    final RelayMachine machine = started(UNSAFE, new ScriptedEndpoints(2, 1));
    assertEquals(RefusalReason.NOT_RUN, reason(machine.on(new RelayEvent.ProcessExits(), 10)));
  }

  /** Guards against the promise that a request was not run while its first attempt may have. */
  @Test
  void requestWhoseRepetitionIsNotSentIsAnsweredAsUnknownWhenTheProcessExits() {
    final RelayMachine machine = sent(SAFE, new ScriptedEndpoints(2, 1));
    machine.on(new RelayEvent.Broken(FIRST, "reset"), 10);
    assertEquals(RefusalReason.FAILED, reason(machine.on(new RelayEvent.ProcessExits(), 20)));
  }

  @Test
  void responseThatHasStartedGoesOnWhenTheProcessExits() {
    final RelayMachine machine = sent(UNSAFE, new ScriptedEndpoints(2, 1));
    machine.on(new RelayEvent.HeadReceived(FIRST, OK), 10);
    assertEquals(List.of(), machine.on(new RelayEvent.ProcessExits(), 20));
    assertEquals(List.of(new RelayAction.Complete()), machine.on(new RelayEvent.Ended(FIRST), 30));
  }
}
