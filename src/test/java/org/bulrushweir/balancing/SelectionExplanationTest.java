package org.bulrushweir.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.bulrushweir.api.EndpointId;

/** Tests that the selection is explained as it is made. */
class SelectionExplanationTest {

  private static final int ENDPOINTS = 9;
  private static final int STEPS = 60;
  private static final long START_MS = 1_000_000;

  /**
   * Guards against an explanation that names another endpoint than the selection, and against one
   * that changes what later selections see. The first pair of routers is explained before each
   * selection, the second pair never.
   */
  @Property(tries = 200)
  void firstExplainedEndpointIsSelectedAndNothingChanges(@ForAll final long seed) {
    final SplittableRandom random = new SplittableRandom(seed);
    final SelectorSettings settings = new SelectorSettings(2, 69.8, random.nextBoolean());
    final SimulatedRouters explained = new SimulatedRouters(2, ENDPOINTS, 4, settings);
    final SimulatedRouters plain = new SimulatedRouters(2, ENDPOINTS, 4, settings);
    List.of(explained, plain).forEach(routers -> routers.keepLocal(ENDPOINTS / 2));
    long nowMs = START_MS;
    for (int step = 0; step < STEPS; step++) {
      nowMs += random.nextInt(150);
      final RequestProfile request = request(random, nowMs);
      final long draw = random.nextLong();
      final Set<EndpointId> excluded =
          random.nextInt(4) == 0 ? Set.of(new EndpointId("e1")) : Set.of();
      final int router = random.nextInt(2);
      final List<EndpointExplanation> explanation =
          explained.selectors.get(router).explain(request, draw, excluded, nowMs);
      final Optional<EndpointId> chosen =
          explained.selectors.get(router).choose(request, draw, excluded, nowMs);
      assertEquals(
          chosen,
          explanation.stream()
              .findFirst()
              .filter(EndpointExplanation::isSelectable)
              .map(first -> first.endpoint().id()));
      assertEquals(chosen, plain.selectors.get(router).choose(request, draw, excluded, nowMs));
      final long changes = random.nextLong();
      change(explained, router, chosen, request, nowMs, new SplittableRandom(changes));
      change(plain, router, chosen, request, nowMs, new SplittableRandom(changes));
      assertEquals(
          plain.trackers.get(router).ownLoads(), explained.trackers.get(router).ownLoads());
    }
    assertEquals(plain.reports(), explained.reports());
  }

  private static RequestProfile request(final SplittableRandom random, final long nowMs) {
    final List<PromptSegment> prompt = new ArrayList<>();
    if (random.nextInt(3) > 0) {
      prompt.add(new PromptSegment(1 + random.nextInt(2), 500 + 3_000 * random.nextInt(2)));
      prompt.add(new PromptSegment(10 + random.nextInt(4), 4_000));
      prompt.add(new PromptSegment(random.nextLong(), 100 + random.nextInt(500)));
    }
    return new RequestProfile(SimulatedRouters.SERVICE, prompt, 200, nowMs + 500);
  }

  /** Sends the request, lets others end in several ways, and changes what endpoints say. */
  private static void change(
      final SimulatedRouters routers,
      final int router,
      final Optional<EndpointId> chosen,
      final RequestProfile request,
      final long nowMs,
      final SplittableRandom random) {
    final EndpointTracker tracker = routers.trackers.get(router);
    chosen.ifPresent(
        endpoint ->
            tracker.recordAttempt(
                endpoint, request.prompt(), Optional.empty(), request.heldTokens(), nowMs));
    final EndpointId other = new EndpointId("e" + (1 + random.nextInt(ENDPOINTS)));
    switch (random.nextInt(6)) {
      case 0 -> routers.exchangeReports(nowMs);
      case 1 -> tracker.recordHoldOff(routers.record(other), 300, nowMs);
      case 2 ->
          tracker
              .observations()
              .recordStated(
                  routers.record(other), new StatedLoad(1, 0, 4, OptionalDouble.of(2.5)), nowMs);
      case 3 -> routers.add(1 + random.nextInt(ENDPOINTS), random.nextBoolean());
      default -> {
        if (tracker.ownLoads().containsKey(other)) {
          tracker.recordOutcome(
              other,
              SimulatedRouters.STARTED_AT_MS,
              0,
              AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)],
              nowMs);
        }
      }
    }
  }
}
