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

/** Simulates loads and checks which endpoints are selected. */
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

  /**
   * Chats with two shared segments return at a moderate rate. Prompts that do not follow the prefix
   * caches would be prefilled several times.
   */
  @Test
  void sharedSegmentsArePrefilledOnceWhenChatsReturn() {
    final SimulatedRouters routers = new SimulatedRouters(ROUTERS, ENDPOINTS);
    final SplittableRandom random = new SplittableRandom(5);
    final Map<Integer, Set<EndpointId>> endpointsOfFirst = new HashMap<>();
    long prefilled = 0;
    final Set<Integer> seen = new HashSet<>();
    for (int number = 0; number < 2_000; number++) {
      final int second = random.nextInt(71);
      final List<PromptSegment> prompt = prompt(second % 4, second, number);
      final int router = random.nextInt(ROUTERS);
      final EndpointId chosen = routers.choose(router, prompt, number).orElseThrow();
      final long pending =
          routers
              .trackers
              .get(router)
              .recordAttempt(chosen, prompt, Optional.empty(), 0)
              .prefillTokens();
      prefilled += pending - OWN_TOKENS;
      endpointsOfFirst.computeIfAbsent(second % 4, key -> new HashSet<>()).add(chosen);
      seen.add(second);
      routers
          .trackers
          .get(router)
          .recordPrefillEnd(chosen, SimulatedRouters.STARTED_AT_MS, prompt, pending, 0);
      routers
          .trackers
          .get(router)
          .recordOutcome(chosen, SimulatedRouters.STARTED_AT_MS, 0, AttemptOutcome.ANSWERED, 0);
      if (number % 3 == 0) {
        routers.exchangeReports(0);
      }
    }
    final long expected = 4L * FIRST_TOKENS + (long) seen.size() * SECOND_TOKENS;
    assertTrue(
        prefilled <= 1.1 * expected,
        "prefilled " + prefilled + " tokens, expected once each: " + expected);
    endpointsOfFirst
        .values()
        .forEach(endpoints -> assertTrue(endpoints.size() <= 2, "endpoints: " + endpoints));
  }

  /**
   * One chat receives all requests for a short time. Selection by cache alone would overload its
   * engine.
   */
  @Test
  void hotChatIsSpreadBeforeItsEngineExceedsTheLoadBound() {
    final SimulatedRouters routers = new SimulatedRouters(ROUTERS, ENDPOINTS);
    for (int number = 0; number < 240; number++) {
      final int router = number % ROUTERS;
      final List<PromptSegment> prompt = prompt(1, 1, number);
      final EndpointId chosen = routers.choose(router, prompt, number).orElseThrow();
      final long pending =
          routers
              .trackers
              .get(router)
              .recordAttempt(chosen, prompt, Optional.empty(), 0)
              .prefillTokens();
      routers
          .trackers
          .get(router)
          .recordPrefillEnd(chosen, SimulatedRouters.STARTED_AT_MS, prompt, pending, 0);
      if (router == ROUTERS - 1) {
        routers.exchangeReports(0);
      }
    }
    final double mean = 240.0 / ENDPOINTS;
    for (final EndpointId endpoint : ids(routers)) {
      final int load = routers.trackers.getFirst().inFlight(endpoint, 0);
      assertTrue(load <= 2 * mean + 3, endpoint + " has " + load);
    }
  }

  /**
   * One chat receives most requests while one of three routers is so slow that it still reports
   * requests that have ended. They raise the mean load and with it the load bound.
   */
  @Test
  void endedRequestsOfSlowRouterDoNotRaiseTheBoundTooFar() {
    final SimulatedRouters routers = new SimulatedRouters(3, ENDPOINTS);
    for (final EndpointId endpoint : ids(routers)) {
      for (int ended = 0; ended < 3; ended++) {
        routers.trackers.getLast().recordAttempt(endpoint, List.of(), Optional.empty(), 0);
      }
    }
    routers.exchangeReports(0);
    final Map<EndpointId, Integer> real = new HashMap<>();
    final int requests = 9 * ENDPOINTS;
    for (int number = 0; number < requests; number++) {
      final int router = number % 2;
      final List<PromptSegment> prompt = prompt(1, 1, number);
      final EndpointId chosen = routers.choose(router, prompt, number).orElseThrow();
      final long pending =
          routers
              .trackers
              .get(router)
              .recordAttempt(chosen, prompt, Optional.empty(), 0)
              .prefillTokens();
      routers
          .trackers
          .get(router)
          .recordPrefillEnd(chosen, SimulatedRouters.STARTED_AT_MS, prompt, pending, 0);
      real.merge(chosen, 1, Integer::sum);
      routers.exchangeReports(0);
    }
    final double mean = (double) requests / ENDPOINTS;
    real.forEach((endpoint, load) -> assertTrue(load <= 2 * mean + 3, endpoint + " has " + load));
  }

  private static List<EndpointId> ids(final SimulatedRouters routers) {
    return routers.directory.all().stream().map(entry -> entry.id()).toList();
  }

  @Test
  void routersWithoutReportsAgreeOnTheHashOwnerOfPrompts() {
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
  void drainingEndpointGetsNoNewRequestsButTransfersItsCache() {
    final SimulatedRouters routers = new SimulatedRouters(1, ENDPOINTS);
    final List<PromptSegment> prompt = prompt(1, 1, 1);
    final EndpointTracker tracker = routers.trackers.getFirst();
    final EndpointId first = routers.choose(0, prompt, 1).orElseThrow();
    tracker.recordAttempt(first, prompt, Optional.empty(), 0);
    tracker.recordPrefillEnd(first, SimulatedRouters.STARTED_AT_MS, prompt, 0, 0);
    routers.add(Integer.parseInt(first.value().substring(1)), true);
    final EndpointId second = routers.choose(0, prompt, 1).orElseThrow();
    assertNotEquals(first, second);
    assertEquals(
        Optional.of(first), tracker.cacheSource(second, prompt, 0).map(entry -> entry.id()));
  }

  /**
   * One endpoint of a service fails all calls. It must receive few requests, yet enough to notice
   * its recovery.
   */
  @Test
  void failingEndpointIsEjectedAndProbed() {
    final SimulatedRouters routers = new SimulatedRouters(1, 3);
    final EndpointTracker tracker = routers.trackers.getFirst();
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
          SimulatedRouters.STARTED_AT_MS,
          0,
          chosen.equals(failing) ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED,
          nowMs);
    }
    assertTrue(toFailing >= 4 && toFailing <= 15, "requests to the failing endpoint: " + toFailing);
  }

  @Test
  void prefixCacheEvictsLeastRecentlyUsedSegments() {
    final PrefixCacheModel cache = new PrefixCacheModel(10_000);
    cache.recordPrefill(prompt(1, 1, 1), 0);
    assertEquals(FIRST_TOKENS + SECOND_TOKENS, cache.cachedTokens(prompt(1, 1, 2)));
    cache.recordPrefill(prompt(2, 2, 3), 0);
    assertEquals(
        0, cache.cachedTokens(prompt(1, 1, 2)), "least recently used segments are evicted");
  }

  /**
   * Each selection looks up the prompt at every engine. An engine that is not chosen does not use
   * the prompt, so its cache evicts it all the same.
   */
  @Test
  void lookingUpPromptDoesNotCountAsUseOfIt() {
    final PrefixCacheModel cache = new PrefixCacheModel(2 * (FIRST_TOKENS + SECOND_TOKENS));
    cache.recordPrefill(prompt(1, 1, 1).subList(0, 2), 0);
    cache.recordPrefill(prompt(2, 2, 1).subList(0, 2), 0);
    assertEquals(FIRST_TOKENS + SECOND_TOKENS, cache.prefilledTokens(prompt(1, 1, 2), 0));
    cache.recordPrefill(prompt(3, 3, 1).subList(0, 2), 0);
    assertEquals(0, cache.cachedTokens(prompt(1, 1, 2)));
    assertEquals(FIRST_TOKENS + SECOND_TOKENS, cache.cachedTokens(prompt(2, 2, 2)));
  }
}
