package org.bulrushweir.standin;

import java.util.ArrayList;
import java.util.List;

/** Generates the answer to one request; readers may follow it from any token. */
final class EngineRun {

  private static final List<String> VOCABULARY =
      List.of(
          "kraft", "pallet", "fill", "dock", "lorry", "order", "spec", "line", "lens", "prime",
          "mount", "filter", "case", "pickup", "note", "crew", "rental", "desk", "set", "return",
          "density", "crush", "roll", "width", "stock", "hold", "damage", "check", "history",
          "ready", "noon", "early");
  private static final int SEED_FACTOR = 31;

  private final List<String> prompt;
  private final List<Long> blocks;
  private final int priority;
  private final int length;
  private final int seed;
  private final List<String> tokens = new ArrayList<>();
  private int cachedTokens;
  private int prefillRemaining;
  private int position;
  private boolean cancelled;

  /**
   * Creates a run that has not started yet.
   *
   * @param prompt the tokens of the prompt
   * @param skip how many tokens of the answer the prompt contains already
   * @param length how many tokens the whole answer has
   * @param priority smaller numbers go first
   */
  EngineRun(final List<String> prompt, final int skip, final int length, final int priority) {
    this.prompt = prompt;
    this.blocks = PrefixCache.blockHashes(prompt);
    this.priority = priority;
    this.length = length;
    this.position = skip;
    this.seed = String.join(" ", prompt.subList(0, prompt.size() - skip)).hashCode();
  }

  /**
   * Computes one token of an answer.
   *
   * @param seed the hash of the prompt
   * @param index the token's index
   * @return the token
   */
  static String token(final int seed, final int index) {
    final int choice = Math.floorMod(seed + SEED_FACTOR * index * (index + 1), VOCABULARY.size());
    return (index == 0 ? "" : " ") + VOCABULARY.get(choice);
  }

  int priority() {
    return priority;
  }

  int promptTokens() {
    return prompt.size();
  }

  synchronized int cachedTokens() {
    return cachedTokens;
  }

  /**
   * Starts reading the prompt.
   *
   * @param cache the engine's cache
   */
  synchronized void start(final PrefixCache cache) {
    cachedTokens = cache.cachedTokens(blocks);
    prefillRemaining = prompt.size() - cachedTokens;
  }

  /**
   * Advances by one step.
   *
   * @param prefillTokens how many prompt tokens are read in a step
   */
  synchronized void step(final int prefillTokens) {
    if (prefillRemaining > prefillTokens) {
      prefillRemaining -= prefillTokens;
      return;
    }
    prefillRemaining = 0;
    if (!finished()) {
      tokens.add(token(seed, position));
      position++;
    }
    notifyAll();
  }

  /**
   * Returns the blocks of the prompt and the answer so far, to be cached.
   *
   * @return the hashes of the blocks
   */
  synchronized List<Long> blocksWithAnswer() {
    final List<String> all = new ArrayList<>(prompt);
    tokens.forEach(token -> all.add(token.strip()));
    return PrefixCache.blockHashes(all);
  }

  synchronized boolean finished() {
    return cancelled || position >= length;
  }

  /** Stops the run. */
  synchronized void cancel() {
    cancelled = true;
    notifyAll();
  }

  synchronized boolean cancelled() {
    return cancelled;
  }

  /**
   * Waits for a token.
   *
   * @param index the token's index
   * @return the token, null if the answer ends before it
   * @throws InterruptedException if the thread is interrupted
   */
  synchronized String awaitToken(final int index) throws InterruptedException {
    while (tokens.size() <= index && !finished()) {
      wait();
    }
    return index < tokens.size() ? tokens.get(index) : null;
  }
}
