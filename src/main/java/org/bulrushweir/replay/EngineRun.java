package org.bulrushweir.replay;

import org.bulrushweir.api.AttemptKey;

/** Tracks an answer while a modelled engine generates it. */
final class EngineRun {

  /** The attempt. */
  private final AttemptKey key;

  /** The chat's hash. */
  private final long chat;

  /** The tokens of the prompt. */
  private final int promptTokens;

  /** The tokens to be generated. */
  private final int outputTokens;

  /** Smaller numbers go first. */
  private final int priority;

  /** How many tokens of the prompt were cached. */
  private int cachedTokens;

  /** How many tokens of the prompt are still to be read. */
  private int prefillLeft;

  /** How many of them are read in the step under way. */
  private int prefillPlanned;

  /** How many tokens were generated. */
  private int generated;

  /** When the last token was generated, in milliseconds. */
  private long lastTokenMs;

  /** How long the last token took, in milliseconds. */
  private double lastIntervalMs;

  /**
   * Creates a run.
   *
   * @param key the attempt
   * @param chat the chat's hash
   * @param promptTokens the tokens of the prompt
   * @param outputTokens the tokens to be generated
   * @param priority smaller numbers go first
   */
  EngineRun(
      final AttemptKey key,
      final long chat,
      final int promptTokens,
      final int outputTokens,
      final int priority) {
    this.key = key;
    this.chat = chat;
    this.promptTokens = promptTokens;
    this.outputTokens = outputTokens;
    this.priority = priority;
    this.prefillLeft = promptTokens;
  }

  AttemptKey key() {
    return key;
  }

  long chat() {
    return chat;
  }

  int promptTokens() {
    return promptTokens;
  }

  int outputTokens() {
    return outputTokens;
  }

  int priority() {
    return priority;
  }

  int generated() {
    return generated;
  }

  int cachedTokens() {
    return cachedTokens;
  }

  /**
   * Sets how much of the prompt need not be read.
   *
   * @param tokens the cached tokens
   */
  void cachedTokens(final int tokens) {
    cachedTokens = tokens;
    prefillLeft = promptTokens - tokens;
  }

  boolean isDecoding() {
    return prefillLeft == 0;
  }

  boolean isFinished() {
    return generated >= outputTokens;
  }

  double lastIntervalMs() {
    return lastIntervalMs;
  }

  /**
   * Plans how much of the prompt is read in the next step.
   *
   * @param limit how much can be read at the most
   * @return how much is planned
   */
  int planPrefill(final int limit) {
    prefillPlanned = Math.min(limit, prefillLeft);
    return prefillPlanned;
  }

  /**
   * Ends a step.
   *
   * @param nowMs the current time
   * @return true if the step has generated a token
   */
  boolean step(final long nowMs) {
    if (prefillLeft > 0) {
      prefillLeft -= prefillPlanned;
      prefillPlanned = 0;
      if (prefillLeft > 0) {
        return false;
      }
    }
    lastIntervalMs = generated == 0 ? 0 : nowMs - lastTokenMs;
    lastTokenMs = nowMs;
    generated++;
    return true;
  }
}
