package org.bulrushweir.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bulrushweir.api.EndpointId;
import org.junit.jupiter.api.Test;

/** What all gateways send to an engine must stay below its KV cache, which holds 400,000 tokens. */
class KvCapacityTest {

  private static final int OUTPUT_TOKENS = 20_000;

  private final SimulatedRouters routers =
      new SimulatedRouters(2, 4, 64, new SelectorSettings(2, 69.8, true));

  private static RequestProfile profile(final int number) {
    final List<PromptSegment> prompt =
        List.of(new PromptSegment(1, 9_000), new PromptSegment(100 + number, 1_000));
    return new RequestProfile(SimulatedRouters.SERVICE, prompt, OUTPUT_TOKENS, 10_000);
  }

  private EndpointId choose(final int router, final int number) {
    return routers.selectors.get(router).choose(profile(number), number, Set.of(), 0).orElseThrow();
  }

  /** All prompts share a segment, so that the engine that has cached it attracts them. */
  @Test
  void engineIsAvoidedBeforeItsCacheIsFull() {
    final Map<EndpointId, Long> held = new HashMap<>();
    for (int number = 0; number < 40; number++) {
      final int router = number % 2;
      final RequestProfile profile = profile(number);
      final EndpointId chosen = choose(router, number);
      routers
          .trackers
          .get(router)
          .recordAttempt(chosen, profile.prompt(), Optional.empty(), profile.heldTokens(), 0);
      held.merge(chosen, profile.heldTokens(), Long::sum);
      routers.exchangeReports(0);
    }
    held.forEach((engine, tokens) -> assertTrue(tokens <= 0.9 * 400_000, engine + ": " + tokens));
  }

  /** A gateway that knows nothing of what its peer has sent would overfill the engine. */
  @Test
  void tokensHeldForPeersCountUntilTheyEnd() {
    final EndpointId owner = choose(0, 1);
    final EndpointTracker peer = routers.trackers.get(1);
    final PlacementSnapshot placement =
        peer.recordAttempt(owner, List.of(), Optional.empty(), 350_000, 0);
    routers.exchangeReports(0);
    assertNotEquals(owner, choose(0, 1));
    peer.recordOutcome(
        owner, placement.startedAtMs(), 0, placement.heldTokens(), AttemptOutcome.ANSWERED, 0);
    routers.exchangeReports(0);
    assertEquals(owner, choose(0, 1));
  }

  /** A gateway that has died must not keep an engine out of use for good. */
  @Test
  void tokensOfSilentPeerExpire() {
    final EndpointId owner = choose(0, 1);
    routers.trackers.get(1).recordAttempt(owner, List.of(), Optional.empty(), 350_000, 0);
    routers.exchangeReports(0);
    assertNotEquals(owner, choose(0, 1));
    assertEquals(
        Optional.of(owner), routers.selectors.getFirst().choose(profile(1), 1, Set.of(), 2_000));
  }
}
