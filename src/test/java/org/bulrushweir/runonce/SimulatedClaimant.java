package org.bulrushweir.runonce;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import org.bulrushweir.delivery.RefusalKind;
import org.bulrushweir.simulation.EventQueue;

/** A sidecar that has got a request with a key, reduced to the real claim machine. */
final class SimulatedClaimant {

  private static final long TABLE_MS = 5;
  private static final long TABLE_TIMEOUT_MS = 200;
  private static final long LATE_MS = 5_000;
  private static final long FREEZE_MS = 4_000;
  private static final long RUN_MS = 50;
  private static final double NOT_RUN_RATE = 0.1;
  private static final double PERHAPS_RATE = 0.1;

  /** What the caller was told. */
  enum Told {
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
  private Told told = Told.NOTHING;
  private String answer = "";

  /**
   * Creates a claimant.
   *
   * @param queue the virtual time
   * @param random decides what is random
   * @param faults what goes wrong
   * @param table the table
   * @param number distinguishes claimants
   * @param giveUpAtMs when it is too late to run the request, in milliseconds
   */
  SimulatedClaimant(
      final EventQueue queue,
      final SplittableRandom random,
      final ClaimFaults faults,
      final SimulatedTable table,
      final int number,
      final long giveUpAtMs) {
    this.queue = queue;
    this.random = random;
    this.faults = faults;
    this.table = table;
    this.name = "claimant-" + number;
    this.machine =
        new ClaimMachine(
            new ClaimRow(name, "digest", name, 1, ClaimState.CLAIMED, null), giveUpAtMs);
  }

  void start() {
    carryOut(machine.start());
  }

  int runs() {
    return runs;
  }

  Told told() {
    return told;
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
          tell(Told.RAN, new String(replay.outcome().body(), StandardCharsets.UTF_8));
      case ClaimAction.Refuse refuse -> tell(Told.NOT_RUN, "");
      case ClaimAction.ReplyUnknown reply -> tell(Told.UNKNOWN, "");
    }
  }

  private void tell(final Told what, final String newAnswer) {
    told = what;
    answer = newAnswer;
  }

  private void write(final ClaimAction.Write write) {
    final double draw = random.nextDouble();
    if (draw < faults.refusedRate()) {
      queue.schedule(TABLE_MS, () -> feed(new ClaimEvent.TableFailed(false)));
      return;
    }
    if (draw < faults.refusedRate() + faults.lateRate()) {
      queue.schedule(LATE_MS, () -> table.write(write.row(), write.version()));
      queue.schedule(TABLE_TIMEOUT_MS, () -> feed(new ClaimEvent.TableFailed(true)));
      return;
    }
    final boolean lost = random.nextDouble() < faults.lostRate();
    queue.schedule(
        TABLE_MS,
        () -> {
          final ClaimEvent result = table.write(write.row(), write.version());
          if (lost) {
            queue.schedule(TABLE_TIMEOUT_MS, () -> feed(new ClaimEvent.TableFailed(true)));
          } else {
            feed(seen(result));
          }
        });
  }

  private void read() {
    if (random.nextDouble() < faults.refusedRate() + faults.lostRate()) {
      queue.schedule(TABLE_TIMEOUT_MS, () -> feed(new ClaimEvent.TableFailed(false)));
      return;
    }
    queue.schedule(TABLE_MS, () -> feed(seen(table.read())));
  }

  /** Shows a claim that has lapsed as released, where that mechanism is to be switched off. */
  private ClaimEvent seen(final ClaimEvent event) {
    if (event instanceof ClaimEvent.Found found
        && found.row() != null
        && found.row().state() == ClaimState.CLAIMED
        && !found.row().nonce().equals(name)
        && queue.nowMs() - table.claimedAtMs() > faults.takeoverAfterMs()) {
      return new ClaimEvent.Found(found.row().settled(ClaimState.RELEASED, null), found.version());
    }
    return event;
  }

  private void run() {
    if (random.nextDouble() < NOT_RUN_RATE) {
      tell(Told.NOT_RUN, "");
      feed(new ClaimEvent.NotRun(RefusalKind.ENDPOINT_DOWN));
      return;
    }
    runs++;
    final boolean perhaps = random.nextDouble() < PERHAPS_RATE;
    queue.schedule(
        RUN_MS,
        () -> {
          if (killed) {
            return;
          }
          if (perhaps) {
            tell(Told.UNKNOWN, "");
            feed(new ClaimEvent.MayHaveRun("broke off"));
          } else {
            tell(Told.RAN, name);
            feed(
                new ClaimEvent.Ran(
                    new ClaimOutcome(201, "text/plain", name.getBytes(StandardCharsets.UTF_8))));
          }
        });
  }
}
