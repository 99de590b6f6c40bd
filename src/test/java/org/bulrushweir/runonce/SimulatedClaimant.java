package org.bulrushweir.runonce;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import org.bulrushweir.delivery.RefusalKind;
import org.bulrushweir.simulation.EventQueue;

/**
 * Simulates a sidecar that runs the production {@link ClaimMachine} for one request with an
 * idempotency key.
 */
final class SimulatedClaimant {

  private static final long TABLE_MS = 5;
  private static final long TABLE_TIMEOUT_MS = 200;
  private static final long LATE_WRITE_MS = 5_000;
  private static final long FREEZE_MS = 4_000;
  private static final long RUN_MS = 50;
  private static final double NOT_RUN_RATE = 0.1;
  private static final double MAY_HAVE_RUN_RATE = 0.1;

  /** Outcome that was reported to the caller. */
  enum Reported {
    NOTHING,
    RAN,
    NOT_RUN,
    UNKNOWN
  }

  private final EventQueue queue;
  private final SplittableRandom random;
  private final ClaimFaults faults;
  private final SimulatedTable table;
  private final ClaimMachine machine;
  private final String name;
  private int runs;
  private boolean killed;
  private Reported reported = Reported.NOTHING;
  private String answer = "";

  /**
   * Creates a claimant.
   *
   * @param queue the event queue, which keeps the virtual time
   * @param random the source of random decisions
   * @param faults the faults to inject
   * @param table the table that holds the claim
   * @param number the number that distinguishes this claimant from the others
   * @param startByMs the latest time at which the request may be started, in milliseconds of
   *     virtual time
   */
  SimulatedClaimant(
      final EventQueue queue,
      final SplittableRandom random,
      final ClaimFaults faults,
      final SimulatedTable table,
      final int number,
      final long startByMs) {
    this.queue = queue;
    this.random = random;
    this.faults = faults;
    this.table = table;
    this.name = "claimant-" + number;
    this.machine =
        new ClaimMachine(
            new ClaimRow(name, "digest", name, 1, ClaimState.CLAIMED, null), startByMs);
  }

  void start() {
    carryOut(machine.start());
  }

  int runs() {
    return runs;
  }

  Reported reported() {
    return reported;
  }

  String answer() {
    return answer;
  }

  private void feed(final ClaimEvent event) {
    if (!killed) {
      carryOut(machine.on(event, queue.nowMs()));
    }
  }

  private void carryOut(final List<ClaimAction> actions) {
    for (final ClaimAction action : actions) {
      if (random.nextDouble() < faults.killRate()) {
        killed = true;
      }
      final long delayMs = random.nextDouble() < faults.freezeRate() ? FREEZE_MS : 0;
      queue.schedule(delayMs, () -> carryOutUnlessKilled(action));
    }
  }

  private void carryOutUnlessKilled(final ClaimAction action) {
    if (killed) {
      return;
    }
    switch (action) {
      case ClaimAction.Write write -> write(write);
      case ClaimAction.Read read -> read();
      case ClaimAction.Wait wait ->
          queue.schedule(wait.delayMs(), () -> feed(new ClaimEvent.WaitElapsed()));
      case ClaimAction.Run run -> run();
      case ClaimAction.Replay replay ->
          report(Reported.RAN, new String(replay.outcome().body(), StandardCharsets.UTF_8));
      case ClaimAction.Refuse refuse -> report(Reported.NOT_RUN, "");
      case ClaimAction.ReplyUnknown reply -> report(Reported.UNKNOWN, "");
    }
  }

  private void report(final Reported outcome, final String newAnswer) {
    reported = outcome;
    answer = newAnswer;
  }

  private void write(final ClaimAction.Write write) {
    final double draw = random.nextDouble();
    if (draw < faults.refusedRate()) {
      queue.schedule(TABLE_MS, () -> feed(new ClaimEvent.StoreFailed(false)));
      return;
    }
    if (draw < faults.refusedRate() + faults.lateRate()) {
      queue.schedule(LATE_WRITE_MS, () -> table.write(write.row(), write.version()));
      queue.schedule(TABLE_TIMEOUT_MS, () -> feed(new ClaimEvent.StoreFailed(true)));
      return;
    }
    final boolean lost = random.nextDouble() < faults.lostRate();
    queue.schedule(
        TABLE_MS,
        () -> {
          final ClaimEvent result = table.write(write.row(), write.version());
          if (lost) {
            queue.schedule(TABLE_TIMEOUT_MS, () -> feed(new ClaimEvent.StoreFailed(true)));
          } else {
            feed(expireClaim(result));
          }
        });
  }

  private void read() {
    if (random.nextDouble() < faults.refusedRate() + faults.lostRate()) {
      queue.schedule(TABLE_TIMEOUT_MS, () -> feed(new ClaimEvent.StoreFailed(false)));
      return;
    }
    queue.schedule(TABLE_MS, () -> feed(expireClaim(table.read())));
  }

  /** Presents an expired claim as released, if the faults let claims expire. */
  private ClaimEvent expireClaim(final ClaimEvent event) {
    if (event instanceof ClaimEvent.Found found
        && found.row() != null
        && found.row().state() == ClaimState.CLAIMED
        && !found.row().nonce().equals(name)
        && queue.nowMs() - table.claimedAtMs() > faults.expiryMs()) {
      return new ClaimEvent.Found(
          found.row().withResult(ClaimState.RELEASED, null), found.version());
    }
    return event;
  }

  private void run() {
    if (random.nextDouble() < NOT_RUN_RATE) {
      report(Reported.NOT_RUN, "");
      feed(new ClaimEvent.NotRun(RefusalKind.ENDPOINT_DOWN));
      return;
    }
    runs++;
    final boolean mayHaveRun = random.nextDouble() < MAY_HAVE_RUN_RATE;
    queue.schedule(
        RUN_MS,
        () -> {
          if (killed) {
            return;
          }
          if (mayHaveRun) {
            report(Reported.UNKNOWN, "");
            feed(new ClaimEvent.MayHaveRun("broke off"));
          } else {
            report(Reported.RAN, name);
            feed(
                new ClaimEvent.Ran(
                    new ClaimOutcome(201, "text/plain", name.getBytes(StandardCharsets.UTF_8))));
          }
        });
  }
}
