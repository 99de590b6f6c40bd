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

/**
 * Tests the invariants of a request with random sequences of events. The normal end of a response,
 * {@link RelayEvent.Ended}, is not drawn.
 */
class RelayPropertyTest {

  private static final String SEED = "4711";
  private static final int STEPS = 60;
  private static final long DEADLINE_MS = 2_000;

  private static final ResponseHead[] HEADS = {
    new ResponseHead(200, true, false, 0),
    new ResponseHead(200, false, false, 0),
    new ResponseHead(500, true, false, 0),
    new ResponseHead(503, true, true, 100),
    new ResponseHead(503, true, false, 0),
    new ResponseHead(421, true, true, 0),
  };

  /** The state of the attempts at the endpoints and the response that the caller received. */
  private static final class Observer {
    private final Set<Integer> sent = new HashSet<>();
    private final Set<Integer> provenNotRun = new HashSet<>();
    private final Set<Integer> ended = new HashSet<>();
    private int lastAttempt;
    private int finalActions;
    private boolean responseStarted;
    private boolean refusedAsNotRun;

    void apply(final List<RelayAction> actions) {
      for (final RelayAction action : actions) {
        assertEquals(0, finalActions, "no action follows the final one");
        switch (action) {
          case RelayAction.Send send -> {
            assertTrue(
                lastAttempt == 0 || ended.contains(lastAttempt),
                "the previous attempt has ended when the next one starts");
            assertEquals(responseStarted, send.resume());
            lastAttempt = send.attempt().number();
          }
          case RelayAction.Abort abort -> ended.add(abort.attempt().number());
          case RelayAction.Forward forward -> {
            assertTrue(!responseStarted, "a response starts once");
            responseStarted = true;
          }
          case RelayAction.ForwardResumed resumed -> assertTrue(responseStarted);
          case RelayAction.Refuse refuse -> {
            assertTrue(!responseStarted, "a refusal never follows the start of a response");
            refusedAsNotRun = refuse.refusal().reason() == RefusalReason.NOT_RUN;
            finalActions++;
          }
          case RelayAction.Truncate truncate -> finalActions++;
          case RelayAction.Complete complete -> finalActions++;
        }
      }
    }
  }

  @Property(seed = SEED)
  void invariantsHold(@ForAll final long seed) {
    final RandomGenerator random = new SplittableRandom(seed);
    final boolean retryable = random.nextBoolean();
    final boolean resumable = retryable && random.nextBoolean();
    final int maxExecutions = 1 + random.nextInt(3);
    final RelayMachine machine =
        new RelayMachine(
            new RelayLimits(retryable, resumable, maxExecutions, DEADLINE_MS, 300, 200),
            new ScriptedEndpoints(random.nextInt(6), random.nextInt(6)));
    final Observer observer = new Observer();
    observer.apply(machine.start(0));
    long nowMs = 0;
    for (int step = 0; step < STEPS && !machine.isFinished(); step++) {
      nowMs += random.nextInt(120);
      observer.apply(machine.on(draw(random, observer), nowMs));
    }
    if (!machine.isFinished()) {
      observer.apply(machine.on(new RelayEvent.Tick(), DEADLINE_MS));
    }
    check(observer, machine, retryable, maxExecutions);
  }

  private static void check(
      final Observer observer,
      final RelayMachine machine,
      final boolean retryable,
      final int maxExecutions) {
    assertTrue(machine.isFinished(), "every request ends by its deadline");
    final Set<Integer> mayHaveRun = new HashSet<>(observer.sent);
    mayHaveRun.removeAll(observer.provenNotRun);
    assertTrue(mayHaveRun.size() <= (retryable ? maxExecutions : 1), "executions: " + mayHaveRun);
    if (observer.refusedAsNotRun) {
      assertEquals(Set.of(), mayHaveRun, "refused as not run");
    }
  }

  /** Draws an event that can occur for the latest attempt. */
  private static RelayEvent draw(final RandomGenerator random, final Observer observer) {
    final AttemptId attempt = new AttemptId(observer.lastAttempt);
    if (!observer.sent.contains(observer.lastAttempt)) {
      return switch (random.nextInt(5)) {
        case 0 -> {
          observer.ended.add(observer.lastAttempt);
          yield new RelayEvent.NotSent(attempt, "no connection");
        }
        case 1 -> {
          observer.ended.add(observer.lastAttempt);
          yield new RelayEvent.NotAccepted(attempt, "evacuated");
        }
        case 2 -> new RelayEvent.Tick();
        default -> {
          observer.sent.add(observer.lastAttempt);
          yield new RelayEvent.Sent(attempt);
        }
      };
    }
    return switch (random.nextInt(12)) {
      case 0 -> new RelayEvent.CallerDisconnected();
      case 1, 2 -> {
        observer.ended.add(observer.lastAttempt);
        yield new RelayEvent.Broken(attempt, "reset");
      }
      case 3, 4, 5 -> new RelayEvent.Tick();
      case 6, 7 -> new RelayEvent.DataReceived(attempt);
      default -> {
        final ResponseHead head = HEADS[random.nextInt(HEADS.length)];
        if (head.notRun()) {
          observer.provenNotRun.add(observer.lastAttempt);
        }
        yield new RelayEvent.HeadReceived(attempt, head);
      }
    };
  }
}
