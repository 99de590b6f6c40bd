package org.bulrushweir.balancing;

import java.util.Arrays;
import java.util.List;
import org.bulrushweir.routing.BitMixer;

/**
 * Finds the engine that rendezvous hashing assigns to the shared segments of a prompt. Prompts that
 * share only their first segment are spread over as many engines as cost half a prompt more for
 * reading their first segment.
 */
final class HashOwner {

  /**
   * The tokens that the owners of a first segment may prefill for it together, as a share of the
   * shared segments of one prompt.
   */
  private static final double OWNERS_COST_SHARE = 0.5;

  private HashOwner() {}

  /**
   * Returns the engine that hashing assigns.
   *
   * @param candidates the engines that accept new requests
   * @param prompt the segments of the prompt in order, not empty
   * @param ejection decides which engines are avoided
   * @return the engine, null if all candidates are avoided
   */
  static EndpointState find(
      final List<EndpointState> candidates,
      final List<PromptSegment> prompt,
      final EjectionPolicy ejection) {
    final long first = prompt.getFirst().id();
    final long document = prompt.get(Math.max(0, prompt.size() - 2)).id();
    final long lowest = lowestOwnerHash(candidates, first, owners(prompt), ejection);
    EndpointState owner = null;
    for (final EndpointState state : candidates) {
      if (!ejection.avoids(state)
          && BitMixer.mix(first ^ state.key()) >= lowest
          && (owner == null
              || BitMixer.mix(document ^ state.key()) > BitMixer.mix(document ^ owner.key()))) {
        owner = state;
      }
    }
    return owner;
  }

  private static long owners(final List<PromptSegment> prompt) {
    long sharedTokens = 0;
    for (int index = 0; index < Math.max(1, prompt.size() - 1); index++) {
      sharedTokens += prompt.get(index).tokens();
    }
    final long firstTokens = Math.max(1, prompt.getFirst().tokens());
    return Math.max(1, (long) (OWNERS_COST_SHARE * sharedTokens / firstTokens));
  }

  /** Returns the lowest hash among those of the owners of the first segment. */
  private static long lowestOwnerHash(
      final List<EndpointState> candidates,
      final long first,
      final long owners,
      final EjectionPolicy ejection) {
    if (owners >= candidates.size()) {
      return Long.MIN_VALUE;
    }
    final long[] highest = new long[(int) owners];
    Arrays.fill(highest, Long.MIN_VALUE);
    for (final EndpointState state : candidates) {
      final long hash = BitMixer.mix(first ^ state.key());
      if (hash > highest[0] && !ejection.avoids(state)) {
        insert(highest, hash);
      }
    }
    return highest[0];
  }

  /** Replaces the lowest of ascending numbers by a higher one. */
  private static void insert(final long[] ascending, final long number) {
    int index = 0;
    while (index + 1 < ascending.length && ascending[index + 1] < number) {
      ascending[index] = ascending[index + 1];
      index++;
    }
    ascending[index] = number;
  }
}
