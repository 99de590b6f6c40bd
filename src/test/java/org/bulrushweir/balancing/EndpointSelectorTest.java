package org.bulrushweir.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.bulrushweir.api.EndpointId;
import org.junit.jupiter.api.Test;

/** Plays loads and checks where requests go. */
class EndpointSelectorTest {

  private static final int ROUTERS = 4;
  private static final int ENDPOINTS = 12;
  private static final int FIRST_TOKENS = 2_500;
  private static final int SECOND_TOKENS = 6_100;
  private static final int OWN_TOKENS = 580;

  private static List<PromptSegment> prompt(final int first, final int second, final long own) {
    return List.of(
        new PromptSegment(first, FIRST_TOKENS),
        new PromptSegment(1_000 + second, SECOND_TOKENS),
        new PromptSegment(1_000_000 + own, OWN_TOKENS));
  }

  /** Load: chats that return at a calm rate, each known by two shared parts. */
  @Test
  void sharedPartsAreReadOnceWhenChatsReturn() {
    final SimulatedRouters routers = new SimulatedRouters(ROUTERS, ENDPOINTS);
    final SplittableRandom random = new SplittableRandom(5);
    final Map<Integer, Set<EndpointId>> homesOfFirst = new HashMap<>();
    long read = 0;
    final Set<Integer> seen = new HashSet<>();
    for (int number = 0; number < 2_000; number++) {
      final int second = random.nextInt(71);
      final List<PromptSegment> prompt = prompt(second % 4, second, number);
      final int router = random.nextInt(ROUTERS);
      final EndpointId chosen = routers.choose(router, prompt, number).orElseThrow();
      final long pending =
          routers
              .boards
              .get(router)
              .recordAttempt(chosen, prompt, Optional.empty(), 0)
              .prefillTokens();
      read += pending - OWN_TOKENS;
      homesOfFirst.computeIfAbsent(second % 4, key -> new HashSet<>()).add(chosen);
      seen.add(second);
      routers.boards.get(router).recordPrefill(chosen, prompt, pending, 0);
      routers.boards.get(router).recordOutcome(chosen, 0, AttemptOutcome.ANSWERED, 0);
      if (number % 3 == 0) {
        routers.exchange(0);
      }
    }
    final long once = 4L * FIRST_TOKENS + (long) seen.size() * SECOND_TOKENS;
    assertTrue(read <= 1.1 * once, "read " + read + " tokens, once is " + once);
    homesOfFirst.values().forEach(homes -> assertTrue(homes.size() <= 2, "homes: " + homes));
  }

  /** Load: one chat gets all of the traffic of a moment. */
  @Test
  void hotChatIsSpreadBeforeItsEngineHasSeveralTimesTheMean() {
    final SimulatedRouters routers = new SimulatedRouters(ROUTERS, ENDPOINTS);
    for (int number = 0; number < 240; number++) {
      final int router = number % ROUTERS;
      final List<PromptSegment> prompt = prompt(1, 1, number);
      final EndpointId chosen = routers.choose(router, prompt, number).orElseThrow();
      final long pending =
          routers
              .boards
              .get(router)
              .recordAttempt(chosen, prompt, Optional.empty(), 0)
              .prefillTokens();
      routers.boards.get(router).recordPrefill(chosen, prompt, pending, 0);
      if (router == ROUTERS - 1) {
        routers.exchange(0);
      }
    }
    final double mean = 240.0 / ENDPOINTS;
    for (final EndpointId endpoint : ids(routers)) {
      final int load = routers.boards.getFirst().inFlight(endpoint, 0);
      assertTrue(load <= 2 * mean + 3, endpoint + " has " + load);
    }
  }

  /**
   * Load: one chat gets most of the traffic while one of three routers is so slow that it goes on
   * reporting requests that have ended.
   */
  @Test
  void endedRequestsOfSlowRouterDoNotRaiseTheBoundTooFar() {
    final SimulatedRouters routers = new SimulatedRouters(3, ENDPOINTS);
    for (final EndpointId endpoint : ids(routers)) {
      for (int ended = 0; ended < 3; ended++) {
        routers.boards.getLast().recordAttempt(endpoint, List.of(), Optional.empty(), 0);
      }
    }
    routers.exchange(0);
    final Map<EndpointId, Integer> real = new HashMap<>();
    final int requests = 9 * ENDPOINTS;
    for (int number = 0; number < requests; number++) {
      final int router = number % 2;
      final List<PromptSegment> prompt = prompt(1, 1, number);
      final EndpointId chosen = routers.choose(router, prompt, number).orElseThrow();
      final long pending =
          routers
              .boards
              .get(router)
              .recordAttempt(chosen, prompt, Optional.empty(), 0)
              .prefillTokens();
      routers.boards.get(router).recordPrefill(chosen, prompt, pending, 0);
      real.merge(chosen, 1, Integer::sum);
      routers.exchange(0);
    }
    final double mean = (double) requests / ENDPOINTS;
    real.forEach((endpoint, load) -> assertTrue(load <= 2 * mean + 3, endpoint + " has " + load));
  }

  private static List<EndpointId> ids(final SimulatedRouters routers) {
    return routers.directory.all().stream().map(entry -> entry.id()).toList();
  }

  @Test
  void routersThatHaveNotHeardOfEachOtherAgreeOnTheHomeOfPrompts() {
    final SimulatedRouters routers = new SimulatedRouters(ROUTERS, ENDPOINTS);
    for (int first = 0; first < 50; first++) {
      final List<PromptSegment> prompt = prompt(first, first, first);
      final Set<EndpointId> chosen = new HashSet<>();
      for (int router = 0; router < ROUTERS; router++) {
        chosen.add(routers.choose(router, prompt, router).orElseThrow());
      }
      assertEquals(1, chosen.size());
    }
  }

  @Test
  void drainingEndpointGetsNoNewWorkButHandsItsCacheOver() {
    final SimulatedRouters routers = new SimulatedRouters(1, ENDPOINTS);
    final List<PromptSegment> prompt = prompt(1, 1, 1);
    final EndpointTracker tracker = routers.boards.getFirst();
    final EndpointId home = routers.choose(0, prompt, 1).orElseThrow();
    tracker.recordAttempt(home, prompt, Optional.empty(), 0);
    tracker.recordPrefill(home, prompt, 0, 0);
    routers.add(Integer.parseInt(home.value().substring(1)), true);
    final EndpointId next = routers.choose(0, prompt, 1).orElseThrow();
    assertNotEquals(home, next);
    assertEquals(Optional.of(home), tracker.cacheSource(next, prompt, 0).map(entry -> entry.id()));
  }

  /** Load: calls to a service of which one endpoint fails. */
  @Test
  void failingEndpointIsLeftAloneAndTriedAgain() {
    final SimulatedRouters routers = new SimulatedRouters(1, 3);
    final EndpointTracker tracker = routers.boards.getFirst();
    final EndpointId failing = new EndpointId("e1");
    int toFailing = 0;
    for (int number = 0; number < 300; number++) {
      final long nowMs = number * 10L;
      final EndpointId chosen =
          routers
              .selectors
              .getFirst()
              .choose(SimulatedRouters.SERVICE, List.of(), number, Set.of(), nowMs)
              .orElseThrow();
      tracker.recordAttempt(chosen, List.of(), Optional.empty(), 0);
      toFailing += chosen.equals(failing) ? 1 : 0;
      tracker.recordOutcome(
          chosen,
          0,
          chosen.equals(failing) ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED,
          nowMs);
    }
    assertTrue(toFailing >= 4 && toFailing <= 15, "requests to the failing endpoint: " + toFailing);
  }

  @Test
  void restartedEndpointHoldsNothing() {
    final PrefixCacheModel memory = new PrefixCacheModel(10_000);
    memory.read(prompt(1, 1, 1), 0);
    assertEquals(FIRST_TOKENS + SECOND_TOKENS, memory.cachedTokens(prompt(1, 1, 2)));
    memory.read(prompt(2, 2, 3), 0);
    assertEquals(0, memory.cachedTokens(prompt(1, 1, 2)), "the least recently used parts yield");
    memory.clear();
    assertEquals(0, memory.cachedTokens(prompt(2, 2, 4)));
  }
}
