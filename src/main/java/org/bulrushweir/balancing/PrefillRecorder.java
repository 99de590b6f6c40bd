package org.bulrushweir.balancing;

import java.util.ArrayList;
import java.util.List;

/**
 * Records the prompts that this gateway sends to engines: in the model of the engine's prefix cache
 * and for the next report to the peers.
 */
final class PrefillRecorder {

  /**
   * The smallest number of tokens for which a request waits while its engine prefills them for
   * another request. Prefilling fewer tokens takes only a few milliseconds.
   */
  private static final int MIN_AWAITED_TOKENS = 512;

  /** The number of unreported prefill tokens from which a report to the peers is sent at once. */
  private static final int MIN_URGENT_TOKENS = 1_500;

  /**
   * The longest wait for segments that are being prefilled, in milliseconds: half of a strict
   * target for the time to first token.
   */
  private static final long MAX_AWAIT_MS = 250;

  /**
   * The factor by which a prefill takes longer than its tokens alone require, because the engine
   * also generates tokens for its running requests meanwhile.
   */
  private static final double PREFILL_SLOWDOWN = 1.25;

  private final List<PeerReport.Placement> placements = new ArrayList<>();
  private final double prefillTokensPerMs;
  private long unreportedTokens;

  /**
   * Creates a recorder.
   *
   * @param prefillTokensPerMs the prefill speed of an engine, in tokens per millisecond
   */
  PrefillRecorder(final double prefillTokensPerMs) {
    this.prefillTokensPerMs = prefillTokensPerMs;
  }

  /**
   * Returns how long an engine takes to prefill tokens.
   *
   * @param tokens the number of tokens
   * @return the time in milliseconds
   */
  long prefillMs(final long tokens) {
    return (long) (tokens / prefillTokensPerMs);
  }

  /**
   * Returns how long an engine needs to prefill tokens beside its running requests.
   *
   * @param tokens the number of tokens
   * @return the time in milliseconds
   */
  double prefillMs(final double tokens) {
    return PREFILL_SLOWDOWN * tokens / prefillTokensPerMs;
  }

  /**
   * Records a prompt that is about to be sent to an engine.
   *
   * @param state the engine, whose load already includes the prompt
   * @param prompt the segments of the prompt in order, not empty
   * @param snapshot the engine's load and cache state before the prompt
   * @param nowMs the current time, in Unix milliseconds
   */
  void record(
      final EndpointState state,
      final List<PromptSegment> prompt,
      final PlacementSnapshot snapshot,
      final long nowMs) {
    final long prefilledInMs =
        (long) prefillMs(state.pendingTokens(nowMs) + snapshot.transferredTokens());
    state.prefixCache().recordPrefill(prompt, nowMs + prefilledInMs);
    placements.add(
        new PeerReport.Placement(state.entry().id(), PromptSegment.shared(prompt), prefilledInMs));
    unreportedTokens += snapshot.prefillTokens() + snapshot.transferredTokens();
  }

  /**
   * Returns how long a request waits for segments that its engine prefills for another request.
   *
   * @param state the engine
   * @param prompt the segments of the prompt in order
   * @param nowMs the current time, in Unix milliseconds
   * @return the wait in milliseconds
   */
  static long awaitMs(
      final EndpointState state, final List<PromptSegment> prompt, final long nowMs) {
    final PrefixCacheModel prefixCache = state.prefixCache();
    final int pendingPrefixTokens =
        prefixCache.cachedTokens(prompt) - prefixCache.prefilledTokens(prompt, nowMs);
    if (pendingPrefixTokens < MIN_AWAITED_TOKENS) {
      return 0;
    }
    return Math.min(MAX_AWAIT_MS, prefixCache.prefilledAtMs(prompt) - nowMs);
  }

  boolean isReportUrgent() {
    return unreportedTokens >= MIN_URGENT_TOKENS;
  }

  /**
   * Returns and clears the placements that were recorded since the last call.
   *
   * @return the placements in the order in which they were recorded, empty if there were none
   */
  List<PeerReport.Placement> drain() {
    final List<PeerReport.Placement> drained = List.copyOf(placements);
    placements.clear();
    unreportedTokens = 0;
    return drained;
  }
}
