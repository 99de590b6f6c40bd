package org.bulrushweir.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.bulrushweir.routing.BitMixer;
import org.junit.jupiter.api.Test;

/**
 * Gateways of different versions run beside each other during a roll-out. Prompts would be read
 * twice if they assigned different engines.
 */
class HashOwnerTest {

  private static EndpointState sorted(
      final List<EndpointState> candidates, final List<PromptSegment> prompt) {
    final PromptSegment first = prompt.getFirst();
    final List<PromptSegment> shared = prompt.subList(0, Math.max(1, prompt.size() - 1));
    final long owners = (long) (0.5 * PromptSegment.tokens(shared) / Math.max(1, first.tokens()));
    final long document = shared.getLast().id();
    return candidates.stream()
        .sorted(Comparator.comparingLong(state -> -BitMixer.mix(first.id() ^ state.key())))
        .limit(Math.max(1, owners))
        .max(Comparator.comparingLong(state -> BitMixer.mix(document ^ state.key())))
        .orElse(null);
  }

  @Test
  void sameEngineIsAssignedAsBySorting() {
    final SplittableRandom random = new SplittableRandom(1);
    for (int engines = 0; engines < 40; engines++) {
      final List<EndpointState> candidates =
          new SimulatedRouters(1, engines)
              .trackers
              .getFirst()
              .candidates(SimulatedRouters.SERVICE, 0);
      for (int number = 0; number < 200; number++) {
        final List<PromptSegment> prompt = new ArrayList<>();
        for (int segment = 0; segment <= random.nextInt(4); segment++) {
          prompt.add(new PromptSegment(random.nextLong(), random.nextInt(5_000)));
        }
        assertEquals(
            sorted(candidates, prompt),
            HashOwner.find(candidates, prompt, new EjectionPolicy(candidates, 0)));
      }
    }
  }
}
