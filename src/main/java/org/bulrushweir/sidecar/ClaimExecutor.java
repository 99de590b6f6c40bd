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

/** Runs one call under a claim: carries out what the claim's machine decides. Blocks. */
final class ClaimExecutor {

  /** Hears how the call went, once. */
  interface Listener {

    /**
     * The call ran.
     *
     * @param outcome its answer
     * @param replayed true if the answer is that of an earlier run
     */
    void ran(ClaimOutcome outcome, boolean replayed);

    /**
     * The call was not run and never will be.
     *
     * @param kind why
     * @param detail a message for the caller
     */
    void notRun(RefusalKind kind, String detail);

    /**
     * Nobody knows whether the call ran.
     *
     * @param detail a message for the caller
     */
    void unknown(String detail);
  }

  private final Deque<ClaimAction> actions = new ArrayDeque<>();
  private final ClaimMachine machine;
  private final ClaimStore store;
  private final Clock clock;
  private final Supplier<EngineResult> call;
  private final Listener listener;

  /**
   * Creates the call.
   *
   * @param machine the claim's machine
   * @param store the claim's row
   * @param clock the clock
   * @param call runs the request at the endpoint
   * @param listener hears how it went
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
   * Claims, runs, answers, then stores the outcome, however long that takes.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  void run() throws InterruptedException {
    actions.addAll(machine.start());
    while (!actions.isEmpty()) {
      carryOut(actions.removeFirst());
    }
  }

  private void carryOut(final ClaimAction action) throws InterruptedException {
    switch (action) {
      case ClaimAction.Write write -> feed(store.write(write.row(), write.version()));
      case ClaimAction.Read read -> feed(store.read());
      case ClaimAction.Wait wait -> {
        Thread.sleep(wait.delayMs());
        feed(new ClaimEvent.WaitElapsed());
      }
      case ClaimAction.Run run -> feed(runCall());
      case ClaimAction.Replay replay -> listener.ran(replay.outcome(), true);
      case ClaimAction.Refuse refuse ->
          listener.notRun(refuse.kind(), "the claim of the Idempotency-Key was not granted");
      case ClaimAction.ReplyUnknown reply -> listener.unknown(reply.detail());
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
        listener.ran(outcome, false);
        yield new ClaimEvent.Ran(outcome);
      }
      case EngineResult.Refused refused -> {
        listener.notRun(RefusalKind.ENDPOINT_DOWN, refused.detail());
        yield new ClaimEvent.NotRun(RefusalKind.ENDPOINT_DOWN);
      }
      case EngineResult.Broken broken -> {
        listener.unknown(broken.detail());
        yield new ClaimEvent.MayHaveRun(broken.detail());
      }
      case EngineResult.Generated generated ->
          throw new IllegalStateException("a plain service does not generate tokens");
    };
  }
}
