package org.bulrushweir.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.bulrushweir.simulation.EventQueue;
import org.junit.jupiter.api.Test;

/**
 * Checks over random schedules of faults that concurrent submissions of several operators report
 * correct results, and that this fails if the row of the submitted number is not read back after a
 * conflict.
 */
class SubmitPropertyTest {

  private static final String SEED = "2323";
  private static final int TRIES = 2_000;
  private static final int OPERATORS = 4;
  private static final long END_MS = 120_000;
  private static final long SEEDS_WITHOUT_READING_BACK = 2_000;

  /** The platform's rows and the operators that write them concurrently. */
  private static final class Race {

    private final EventQueue queue = new EventQueue(0);
    private final Map<Long, ConfigHead> numbers = new HashMap<>();
    private final List<SubmitResult> results = new ArrayList<>();
    private final SplittableRandom random;
    private final boolean readsBack;
    private ConfigHead head = new ConfigHead(1, "first", "first");
    private long version = 1;

    private Race(final long seed, final boolean readsBack) {
      this.random = new SplittableRandom(seed);
      this.readsBack = readsBack;
      numbers.put(1L, head);
      for (int operator = 0; operator < OPERATORS; operator++) {
        final int index = operator;
        results.add(null);
        final SubmitMachine machine =
            new SubmitMachine("digest-" + index, nonce(index), OptionalLong.of(1));
        queue.schedule(random.nextInt(2_000), () -> carryOut(index, machine, machine.start()));
      }
      queue.runUntil(END_MS);
    }

    private static String nonce(final int operator) {
      return "operator-" + operator;
    }

    private void carryOut(
        final int operator, final SubmitMachine machine, final SubmitAction action) {
      switch (action) {
        case SubmitAction.Finish finish -> results.set(operator, finish.result());
        case SubmitAction.WaitThen wait ->
            queue.schedule(wait.delayMs(), () -> carryOut(operator, machine, wait.next()));
        case SubmitAction.ReadHead read ->
            answer(operator, machine, new SubmitEvent.HeadRead(head, version), false);
        case SubmitAction.StoreText store ->
            answer(operator, machine, new SubmitEvent.TextStored(), true);
        case SubmitAction.Commit commit -> commit(operator, machine, commit);
      }
    }

    private void commit(
        final int operator, final SubmitMachine machine, final SubmitAction.Commit commit) {
      if (random.nextInt(10) == 0) {
        queue.schedule(3_000, () -> apply(commit));
        fail(operator, machine, true);
        return;
      }
      queue.schedule(
          random.nextInt(50),
          () -> {
            final boolean committed = apply(commit);
            final ConfigHead own = numbers.get(commit.head().number());
            answer(
                operator,
                machine,
                committed
                    ? new SubmitEvent.Committed()
                    : new SubmitEvent.Conflicted(readsBack ? own : null),
                true);
          });
    }

    private boolean apply(final SubmitAction.Commit commit) {
      if (commit.headVersion() != version || numbers.containsKey(commit.head().number())) {
        return false;
      }
      head = commit.head();
      numbers.put(head.number(), head);
      version++;
      return true;
    }

    private void answer(
        final int operator,
        final SubmitMachine machine,
        final SubmitEvent event,
        final boolean writes) {
      final int draw = random.nextInt(10);
      if (draw < 2) {
        fail(operator, machine, writes);
      } else {
        queue.schedule(random.nextInt(50), () -> carryOut(operator, machine, machine.on(event)));
      }
    }

    private void fail(
        final int operator, final SubmitMachine machine, final boolean effectPossible) {
      queue.schedule(
          500,
          () ->
              carryOut(
                  operator, machine, machine.on(new SubmitEvent.Failed(effectPossible, "lost"))));
    }

    private boolean allResultsAreCorrect() {
      for (int operator = 0; operator < OPERATORS; operator++) {
        final boolean owns =
            numbers.containsKey(2L) && numbers.get(2L).nonce().equals(nonce(operator));
        final SubmitResult result = results.get(operator);
        final boolean correct =
            switch (result) {
              case SubmitResult.Accepted accepted -> owns;
              case SubmitResult.Unknown unknown -> true;
              default -> !owns;
            };
        if (!correct) {
          return false;
        }
      }
      return true;
    }
  }

  @Property(tries = TRIES, seed = SEED)
  void submissionsReportCorrectResults(@ForAll @LongRange(min = 0) final long seed) {
    assertTrue(new Race(seed, true).allResultsAreCorrect());
  }

  @Test
  void withoutReadingBackAnAcceptedTextIsSometimesReportedAsConflict() {
    assertTrue(
        LongStream.range(0, SEEDS_WITHOUT_READING_BACK)
            .anyMatch(seed -> !new Race(seed, false).allResultsAreCorrect()));
  }

  @Property(tries = TRIES, seed = SEED)
  void atMostOneOfTheConcurrentTextsIsAccepted(@ForAll @LongRange(min = 0) final long seed) {
    final Race race = new Race(seed, true);
    final long accepted =
        race.results.stream().filter(result -> result instanceof SubmitResult.Accepted).count();
    assertTrue(accepted <= 1);
    assertTrue(race.head.number() <= 2);
  }

  @Test
  void textWithoutBaseIsRejectedIfConfigurationExists() {
    final SubmitMachine machine = new SubmitMachine("digest", "nonce", OptionalLong.empty());
    machine.start();
    assertEquals(
        new SubmitAction.Finish(new SubmitResult.BaseMissing(3)),
        machine.on(new SubmitEvent.HeadRead(new ConfigHead(3, "other", "other"), 9)));
  }
}
