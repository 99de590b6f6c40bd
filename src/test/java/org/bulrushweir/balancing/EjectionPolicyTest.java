package org.bulrushweir.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
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

/** Tests which endpoints are avoided because of their failures. */
class EjectionPolicyTest {

  private static final int ENDPOINTS = 12;
  private static final long REQUEST_INTERVAL_MS = 5;
  private static final long DURATION_MS = 4_000;
  private static final int DOCUMENTS = 40;
  private static final int DOCUMENT_TOKENS = 8_000;
  private static final double FAILING_SHARE = 0.45;
  private static final double MOST_COPIES = 1.5;

  private final SimulatedRouters routers = new SimulatedRouters(1, ENDPOINTS);
  private final EndpointTracker tracker = routers.trackers.getFirst();

  private EjectionPolicy policy(final long nowMs) {
    return new EjectionPolicy(tracker.candidates(SimulatedRouters.SERVICE, nowMs), nowMs);
  }

  private long avoided(final long nowMs) {
    final EjectionPolicy policy = policy(nowMs);
    return tracker.candidates(SimulatedRouters.SERVICE, nowMs).stream()
        .filter(policy::avoids)
        .count();
  }

  private void fail(final int endpoint, final AttemptOutcome outcome) {
    final EndpointId id = new EndpointId("e" + endpoint);
    for (int attempt = 0; attempt < 3; attempt++) {
      tracker.recordAttempt(id, List.of(), Optional.empty(), 0);
      tracker.recordOutcome(id, SimulatedRouters.STARTED_AT_MS, 0, outcome, 0);
    }
  }

  @Test
  void fewFailingEndpointsAreAvoidedAndManyAreNot() {
    fail(1, AttemptOutcome.FAILED);
    fail(2, AttemptOutcome.FAILED);
    fail(3, AttemptOutcome.FAILED);
    assertEquals(3, avoided(1));
    fail(4, AttemptOutcome.FAILED);
    assertEquals(0, avoided(1));
  }

  @Test
  void unreachableEndpointsAreAvoidedHoweverMany() {
    for (int endpoint = 1; endpoint <= ENDPOINTS - 1; endpoint++) {
      fail(endpoint, AttemptOutcome.UNREACHABLE);
    }
    assertEquals(ENDPOINTS - 1, avoided(1));
  }

  @Test
  void oneOfTwoFailingEndpointsIsAvoided() {
    final SimulatedRouters two = new SimulatedRouters(1, 2);
    final EndpointId failing = new EndpointId("e1");
    for (int attempt = 0; attempt < 3; attempt++) {
      two.trackers.getFirst().recordAttempt(failing, List.of(), Optional.empty(), 0);
      two.trackers
          .getFirst()
          .recordOutcome(failing, SimulatedRouters.STARTED_AT_MS, 0, AttemptOutcome.FAILED, 0);
    }
    assertEquals(Optional.of(new EndpointId("e2")), two.choose(0, List.of(), 1));
  }

  /**
   * All engines fail almost half of their requests for a while, as when a shared dependency of
   * theirs is faulty. Documents that move away from each engine that is ejected in turn are
   * prefilled on most engines.
   */
  @Test
  void documentsStayWhereTheyAreCachedWhileAllEnginesFailRequests() {
    final SplittableRandom random = new SplittableRandom(17);
    final Map<Integer, Set<EndpointId>> prefilledAt = new HashMap<>();
    for (long nowMs = 0; nowMs < DURATION_MS; nowMs += REQUEST_INTERVAL_MS) {
      final int document = random.nextInt(DOCUMENTS);
      final List<PromptSegment> prompt =
          List.of(
              new PromptSegment(document, DOCUMENT_TOKENS), new PromptSegment(1_000 + nowMs, 100));
      final EndpointId chosen =
          routers
              .selectors
              .getFirst()
              .choose(SimulatedRouters.SERVICE, prompt, nowMs, Set.of(), nowMs)
              .orElseThrow();
      final PlacementSnapshot placement =
          tracker.recordAttempt(chosen, prompt, Optional.empty(), nowMs);
      if (random.nextDouble() < FAILING_SHARE) {
        tracker.recordOutcome(
            chosen,
            SimulatedRouters.STARTED_AT_MS,
            placement.prefillTokens(),
            AttemptOutcome.FAILED,
            nowMs);
        continue;
      }
      prefilledAt.computeIfAbsent(document, key -> new HashSet<>()).add(chosen);
      tracker.recordPrefillEnd(
          chosen, SimulatedRouters.STARTED_AT_MS, prompt, placement.prefillTokens(), nowMs);
      tracker.recordOutcome(
          chosen, SimulatedRouters.STARTED_AT_MS, 0, AttemptOutcome.ANSWERED, nowMs);
    }
    final int copies = prefilledAt.values().stream().mapToInt(Set::size).sum();
    assertTrue(copies <= MOST_COPIES * DOCUMENTS, copies + " copies of " + DOCUMENTS);
  }

  @Test
  void failingEngineTransfersItsCacheAndUnreachableOneDoesNot() {
    final List<PromptSegment> prompt =
        List.of(new PromptSegment(1, DOCUMENT_TOKENS), new PromptSegment(2, 100));
    final EndpointId source = new EndpointId("e1");
    final EndpointId target = new EndpointId("e2");
    tracker.recordAttempt(source, prompt, Optional.empty(), 0);
    tracker.recordPrefillEnd(source, SimulatedRouters.STARTED_AT_MS, prompt, 0, 0);
    fail(1, AttemptOutcome.FAILED);
    assertEquals(
        Optional.of(source), tracker.cacheSource(target, prompt, 1).map(entry -> entry.id()));
    tracker.recordOutcome(source, SimulatedRouters.STARTED_AT_MS, 0, AttemptOutcome.UNREACHABLE, 1);
    assertEquals(Optional.empty(), tracker.cacheSource(target, prompt, 1));
  }
}
