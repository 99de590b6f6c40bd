package org.bulrushweir.balancing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.catalog.EndpointRecord;
import org.junit.jupiter.api.Test;

/**
 * Plays a load of long documents behind a few common instructions: many documents share their first
 * segment, and each is asked for every few seconds through any of several routers.
 */
class DocumentSpreadTest {

  private static final int ROUTERS = 9;
  private static final int ENGINES = 30;
  private static final int INSTRUCTIONS = 3;
  private static final int INSTRUCTION_TOKENS = 512;
  private static final int DOCUMENTS = 173;
  private static final int DOCUMENT_TOKENS = 10_000;
  private static final int OWN_TOKENS = 1_300;
  private static final double REQUESTS_PER_MS = 0.07;
  private static final long DURATION_MS = 30_000;
  private static final long REPORT_INTERVAL_MS = 200;
  private static final long GENERATION_MS = 2_500;
  private static final double PREFILL_TOKENS_PER_MS = 66;

  /** Copying a twentieth of all requested tokens is the most that balancing the load is worth. */
  private static final double MOST_TRANSFERRED = 0.05;

  private static final double MOST_PREFILLED = 1.25;

  private final SimulatedRouters routers = new SimulatedRouters(ROUTERS, ENGINES);
  private final SplittableRandom random = new SplittableRandom(3);
  private final PriorityQueue<Step> steps = new PriorityQueue<>();
  private long prefilled;
  private long transferred;
  private long requested;

  /** Something that happens at a time. */
  private record Step(long atMs, Runnable action) implements Comparable<Step> {
    @Override
    public int compareTo(final Step other) {
      return Long.compare(atMs, other.atMs);
    }
  }

  private List<PromptSegment> prompt(final int document, final int number) {
    return List.of(
        new PromptSegment(1 + document % INSTRUCTIONS, INSTRUCTION_TOKENS),
        new PromptSegment(1_000 + document, DOCUMENT_TOKENS),
        new PromptSegment(1_000_000 + number, OWN_TOKENS));
  }

  private void request(final int number, final long nowMs) {
    final List<PromptSegment> prompt = prompt(random.nextInt(DOCUMENTS), number);
    final int router = random.nextInt(ROUTERS);
    final EndpointTracker tracker = routers.trackers.get(router);
    final EndpointId chosen =
        routers
            .selectors
            .get(router)
            .choose(SimulatedRouters.SERVICE, prompt, number, Set.of(), nowMs)
            .orElseThrow();
    final Optional<EndpointRecord> source = tracker.cacheSource(chosen, prompt, nowMs);
    final PlacementSnapshot placement = tracker.recordAttempt(chosen, prompt, source, nowMs);
    requested += DOCUMENT_TOKENS;
    prefilled += placement.prefillTokens() - OWN_TOKENS;
    transferred += placement.transferredTokens();
    final long firstMs =
        nowMs
            + placement.awaitMs()
            + (long) (tracker.pendingTokens(chosen, nowMs) / PREFILL_TOKENS_PER_MS);
    steps.add(
        new Step(
            firstMs,
            () ->
                tracker.recordPrefillEnd(
                    chosen, placement.startedAtMs(), prompt, placement.prefillTokens(), firstMs)));
    steps.add(
        new Step(
            firstMs + GENERATION_MS,
            () ->
                tracker.recordOutcome(
                    chosen, placement.startedAtMs(), 0, AttemptOutcome.ANSWERED, firstMs)));
  }

  private void play() {
    for (long atMs = 0; atMs < DURATION_MS; atMs += REPORT_INTERVAL_MS) {
      final long reportMs = atMs;
      steps.add(new Step(atMs, () -> routers.exchangeReports(reportMs)));
    }
    final int requests = (int) (REQUESTS_PER_MS * DURATION_MS);
    for (int number = 0; number < requests; number++) {
      final int current = number;
      final long atMs = random.nextLong(DURATION_MS);
      steps.add(new Step(atMs, () -> request(current, atMs)));
    }
    while (!steps.isEmpty()) {
      steps.poll().action().run();
    }
  }

  @Test
  void documentsBehindFewInstructionsStayAtOneEngineEach() {
    play();
    final long once =
        (long) DOCUMENTS * DOCUMENT_TOKENS + (long) ENGINES * INSTRUCTIONS * INSTRUCTION_TOKENS;
    final String result =
        "prefilled %d of %d tokens that are needed, transferred %d of %d that are requested"
            .formatted(prefilled, once, transferred, requested);
    System.out.println("documents: " + result);
    assertTrue(prefilled <= MOST_PREFILLED * once, result);
    assertTrue(transferred <= MOST_TRANSFERRED * requested, result);
  }
}
