package org.bulrushweir.sidecar;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;
import org.bulrushweir.api.Clock;
import org.bulrushweir.delivery.RefusalKind;
import org.bulrushweir.engine.EngineResult;
import org.bulrushweir.runonce.ClaimAction;
import org.bulrushweir.runonce.ClaimEvent;
import org.bulrushweir.runonce.ClaimMachine;
import org.bulrushweir.runonce.ClaimOutcome;

/**
 * Runs one service call under a claim on its idempotency key, by executing the actions of the
 * claim's state machine.
 */
final class ClaimExecutor {

  /** Receives the result of the call; one of the methods is called, once. */
  interface Listener {

    /**
     * Called when the call has run.
     *
     * @param outcome the service's response
     * @param replayed true if the response is the stored one of an earlier run
     */
    void onRan(ClaimOutcome outcome, boolean replayed);

    /**
     * Called when the call was not run and never will be.
     *
     * @param kind the reason
     * @param detail the message for the caller
     */
    void onNotRun(RefusalKind kind, String detail);

    /**
     * Called when it is unknown whether the call ran.
     *
     * @param detail the message for the caller
     */
    void onUnknown(String detail);
  }

  private final Deque<ClaimAction> actions = new ArrayDeque<>();
  private final ClaimMachine machine;
  private final ClaimStore store;
  private final Clock clock;
  private final Supplier<EngineResult> call;
  private final Listener listener;

  /**
   * Creates the executor of one call.
   *
   * @param machine the claim's state machine
   * @param store reads and writes the claim's row
   * @param clock the clock
   * @param call sends the request to the endpoint
   * @param listener receives the result
   */
  ClaimExecutor(
      final ClaimMachine machine,
      final ClaimStore store,
      final Clock clock,
      final Supplier<EngineResult> call,
      final Listener listener) {
    this.machine = machine;
    this.store = store;
    this.clock = clock;
    this.call = call;
    this.listener = listener;
  }

  /**
   * Acquires the claim, runs the call, reports the result and then stores the outcome. Blocks until
   * the state machine has no more actions.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  void run() throws InterruptedException {
    actions.addAll(machine.start());
    while (!actions.isEmpty()) {
      execute(actions.removeFirst());
    }
  }

  private void execute(final ClaimAction action) throws InterruptedException {
    switch (action) {
      case ClaimAction.Write write -> feed(store.write(write.row(), write.version()));
      case ClaimAction.Read read -> feed(store.read());
      case ClaimAction.Wait wait -> {
        Thread.sleep(wait.delayMs());
        feed(new ClaimEvent.WaitElapsed());
      }
      case ClaimAction.Run run -> feed(runCall());
      case ClaimAction.Replay replay -> listener.onRan(replay.outcome(), true);
      case ClaimAction.Refuse refuse ->
          listener.onNotRun(refuse.kind(), "the claim of the Idempotency-Key was not granted");
      case ClaimAction.ReplyUnknown reply -> listener.onUnknown(reply.detail());
    }
  }

  private void feed(final ClaimEvent event) {
    actions.addAll(machine.on(event, clock.nowMs()));
  }

  private ClaimEvent runCall() {
    return switch (call.get()) {
      case EngineResult.Answered answered -> {
        final ClaimOutcome outcome =
            new ClaimOutcome(answered.httpStatus(), answered.contentType(), answered.body());
        listener.onRan(outcome, false);
        yield new ClaimEvent.Ran(outcome);
      }
      case EngineResult.Refused refused -> {
        listener.onNotRun(RefusalKind.ENDPOINT_DOWN, refused.detail());
        yield new ClaimEvent.NotRun(RefusalKind.ENDPOINT_DOWN);
      }
      case EngineResult.Broken broken -> {
        listener.onUnknown(broken.detail());
        yield new ClaimEvent.MayHaveRun(broken.detail());
      }
      case EngineResult.Generated generated ->
          throw new IllegalStateException("a plain service does not generate tokens");
    };
  }
}
