package org.bulrushweir.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.catalog.EndpointRecord;
import org.junit.jupiter.api.Test;

/** Tests that endpoints that want no requests for a while get none. */
class HoldOffTest {

  private static final String SEED = "371";
  private static final int ENDPOINTS = 4;
  private static final int STEPS = 300;
  private static final List<PromptSegment> CALL = List.of();

  private final SimulatedRouters routers = new SimulatedRouters(1, ENDPOINTS);
  private final EndpointTracker tracker = routers.trackers.getFirst();

  private EndpointRecord endpoint(final int number) {
    return routers.directory.find(new EndpointId("e" + number)).orElseThrow();
  }

  private Optional<EndpointId> choose(final long nowMs) {
    return routers
        .selectors
        .getFirst()
        .choose(SimulatedRouters.SERVICE, CALL, nowMs, Set.of(), nowMs);
  }

  private void end(final EndpointId endpoint, final AttemptOutcome outcome, final long nowMs) {
    tracker.recordOutcome(endpoint, SimulatedRouters.STARTED_AT_MS, 0, outcome, nowMs);
  }

  /** Attempts start and end and endpoints ask for no requests, in random order. */
  @Property(seed = SEED)
  void endpointIsNeverChosenWhileItWantsNoRequests(@ForAll final long seed) {
    final SimulatedRouters fresh = new SimulatedRouters(1, ENDPOINTS);
    final EndpointTracker freshTracker = fresh.trackers.getFirst();
    final Random random = new Random(seed);
    final Map<EndpointId, Long> heldUntilMs = new HashMap<>();
    long nowMs = 10_000;
    for (int step = 0; step < STEPS; step++) {
      nowMs += random.nextInt(100);
      final EndpointId some = new EndpointId("e" + (1 + random.nextInt(ENDPOINTS)));
      switch (random.nextInt(3)) {
        case 0 -> {
          final long forMs = 1 + random.nextInt(1_000);
          heldUntilMs.put(some, nowMs + forMs);
          freshTracker.recordHoldOff(fresh.directory.find(some).orElseThrow(), forMs, nowMs);
        }
        case 1 -> {
          final AttemptOutcome outcome =
              AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)];
          freshTracker.recordAttempt(some, CALL, Optional.empty(), nowMs);
          freshTracker.recordOutcome(some, SimulatedRouters.STARTED_AT_MS, 0, outcome, nowMs);
        }
        default -> {
          final Optional<EndpointId> chosen =
              fresh
                  .selectors
                  .getFirst()
                  .choose(SimulatedRouters.SERVICE, CALL, random.nextLong(), Set.of(), nowMs);
          final long atMs = nowMs;
          final boolean allHeld =
              heldUntilMs.size() == ENDPOINTS
                  && heldUntilMs.values().stream().allMatch(untilMs -> untilMs > atMs);
          assertEquals(allHeld, chosen.isEmpty());
          chosen.ifPresent(id -> assertTrue(heldUntilMs.getOrDefault(id, 0L) <= atMs));
          final long firstMs =
              allHeld ? heldUntilMs.values().stream().min(Long::compare).orElseThrow() : atMs;
          assertEquals(firstMs - atMs, freshTracker.heldOffForMs(SimulatedRouters.SERVICE, atMs));
        }
      }
    }
  }

  @Test
  void lastWordCountsAndNewRunIsFree() {
    for (int number = 2; number <= ENDPOINTS; number++) {
      routers.add(number, true);
    }
    tracker.recordHoldOff(endpoint(1), 5_000, 1_000);
    tracker.recordHoldOff(endpoint(1), 500, 1_100);
    assertTrue(choose(1_500).isEmpty());
    assertTrue(choose(1_600).isPresent());
    final EndpointRecord ended = endpoint(1);
    routers.add(1, false, SimulatedRouters.STARTED_AT_MS + 1);
    tracker.recordHoldOff(ended, 5_000, 1_700);
    assertTrue(choose(1_700).isPresent(), "the word of a run that has ended");
  }

  @Test
  void endpointGetsOneRequestAtFirstWhenItsTimeIsOver() {
    for (int number = 3; number <= ENDPOINTS; number++) {
      routers.add(number, true);
    }
    tracker.recordHoldOff(endpoint(1), 500, 1_000);
    final EndpointId returning = new EndpointId("e1");
    int sent = 0;
    for (int number = 0; number < 20; number++) {
      final EndpointId chosen = choose(1_600 + number).orElseThrow();
      tracker.recordAttempt(chosen, CALL, Optional.empty(), 1_600);
      sent += chosen.equals(returning) ? 1 : 0;
    }
    assertEquals(1, sent);
    end(returning, AttemptOutcome.ANSWERED, 1_700);
    assertEquals(Optional.of(returning), choose(1_700));
  }
}
