package org.bulrushweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Holds the promises of a request over random schedules of events. */
class RelayPropertyTest {

  private static final String SEED = "4711";
  private static final int STEPS = 60;
  private static final long PATIENCE_MS = 2_000;

  private static final ResponseHead[] HEADS = {
    new ResponseHead(200, true, false, 0),
    new ResponseHead(200, false, false, 0),
    new ResponseHead(500, true, false, 0),
    new ResponseHead(503, true, true, 100),
    new ResponseHead(503, true, false, 0),
    new ResponseHead(421, true, true, 0),
  };

  /** What the endpoints know, and what the caller was told. */
  private static final class World {
    private final Set<Integer> sent = new HashSet<>();
    private final Set<Integer> provenNotRun = new HashSet<>();
    private final Set<Integer> over = new HashSet<>();
    private int lastAttempt;
    private int finals;
    private boolean begun;
    private boolean toldNotRun;

    void take(final List<RelayAction> actions) {
      for (final RelayAction action : actions) {
        assertEquals(0, finals, "nothing happens after the end");
        switch (action) {
          case RelayAction.Send send -> {
            assertTrue(
                lastAttempt == 0 || over.contains(lastAttempt),
                "the attempt before is over when the next one starts");
            assertEquals(begun, send.resume());
            lastAttempt = send.attempt().number();
          }
          case RelayAction.Abort abort -> over.add(abort.attempt().number());
          case RelayAction.Forward pass -> {
            assertTrue(!begun, "an answer begins once");
            begun = true;
          }
          case RelayAction.ForwardResumed go -> assertTrue(begun);
          case RelayAction.Refuse refuse -> {
            assertTrue(!begun, "a refusal never follows the beginning of an answer");
            toldNotRun = refuse.refusal().reason() == RefusalReason.NOT_RUN;
            finals++;
          }
          case RelayAction.Truncate broken -> finals++;
          case RelayAction.Complete complete -> finals++;
        }
      }
    }
  }

  @Property(seed = SEED)
  void promisesHold(@ForAll final long seed) {
    final RandomGenerator random = new SplittableRandom(seed);
    final boolean repeatable = random.nextBoolean();
    final boolean resumable = repeatable && random.nextBoolean();
    final int maxRuns = 1 + random.nextInt(3);
    final RelayMachine machine =
        new RelayMachine(
            new RelayLimits(repeatable, resumable, maxRuns, PATIENCE_MS, 300, 200),
            new ScriptedEndpoints(random.nextInt(6), random.nextInt(6)));
    final World world = new World();
    world.take(machine.start(0));
    long nowMs = 0;
    for (int step = 0; step < STEPS && !machine.isFinished(); step++) {
      nowMs += random.nextInt(120);
      world.take(machine.on(draw(random, world), nowMs));
    }
    if (!machine.isFinished()) {
      world.take(machine.on(new RelayEvent.Tick(), PATIENCE_MS));
    }
    check(world, machine, repeatable, maxRuns);
  }

  private static void check(
      final World world, final RelayMachine machine, final boolean repeatable, final int maxRuns) {
    assertTrue(machine.isFinished(), "every request ends in time");
    final Set<Integer> mayHaveRun = new HashSet<>(world.sent);
    mayHaveRun.removeAll(world.provenNotRun);
    assertTrue(mayHaveRun.size() <= (repeatable ? maxRuns : 1), "runs: " + mayHaveRun);
    if (world.toldNotRun) {
      assertEquals(Set.of(), mayHaveRun, "told not run");
    }
  }

  /** Draws an event that can happen to the last attempt. */
  private static RelayEvent draw(final RandomGenerator random, final World world) {
    final AttemptId attempt = new AttemptId(world.lastAttempt);
    if (!world.sent.contains(world.lastAttempt)) {
      return switch (random.nextInt(4)) {
        case 0 -> {
          world.over.add(world.lastAttempt);
          yield new RelayEvent.NotSent(attempt, "no connection");
        }
        case 1 -> new RelayEvent.Tick();
        default -> {
          world.sent.add(world.lastAttempt);
          yield new RelayEvent.Sent(attempt);
        }
      };
    }
    return switch (random.nextInt(12)) {
      case 0 -> new RelayEvent.CallerDisconnected();
      case 1, 2 -> {
        world.over.add(world.lastAttempt);
        yield new RelayEvent.Broken(attempt, "reset");
      }
      case 3, 4, 5 -> new RelayEvent.Tick();
      case 6, 7 -> new RelayEvent.DataReceived(attempt);
      default -> {
        final ResponseHead head = HEADS[random.nextInt(HEADS.length)];
        if (head.notRun()) {
          world.provenNotRun.add(world.lastAttempt);
        }
        yield new RelayEvent.HeadReceived(attempt, head);
      }
    };
  }
}
