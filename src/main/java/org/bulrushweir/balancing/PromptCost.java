package org.bulrushweir.balancing;

import org.bulrushweir.api.ZoneName;
import org.bulrushweir.routing.BitMixer;

/**
 * The cost of an engine for a prompt, in milliseconds: an estimate of the time to first token and
 * of the delay for the other requests of the engine.
 */
final class PromptCost implements EndpointCost {

  /** The weight of the prefill of a token that no engine has cached. */
  private static final double MISS_WEIGHT = 4;

  /** The weight of a token that another engine transfers. */
  private static final double TRANSFER_WEIGHT = 1;

  /**
   * The share of the prefill of the shared segments that is not charged to the engine that hashing
   * assigns, while no engine has cached all of these segments.
   */
  private static final double HASH_OWNER_CREDIT = 0.6;

  /** The delay that each in-flight request adds to the others of its engine, in milliseconds. */
  private static final double RUNNING_MS = 1;

  /** The cost of an engine in another availability zone, in milliseconds: a round trip. */
  private static final double OTHER_ZONE_MS = 3;

  /**
   * The number of pending prefill tokens that delay a short prompt at most: about half of the chunk
   * that the engine prefills when it arrives. Its rank puts it before the rest.
   */
  private static final double MAX_DELAYING_TOKENS = 1_000;

  /**
   * The range of the random term for short prompts, in milliseconds. Gateways learn at the same
   * time which engines prefill little, and would all send their short prompts there.
   */
  private static final double SPREAD_MS = 10;

  /** The share of an engine's KV cache that the requests sent to it may occupy. */
  private static final double KV_SHARE = 0.9;

  private final SelectorSettings settings;
  private final ZoneName zone;
  private final RequestProfile request;
  private final EndpointState hashOwner;
  private final double bound;
  private final double kvLimit;
  private final int maxCached;
  private final long total;
  private final long shared;
  private final long nowMs;

  /**
   * Creates the cost for one selection.
   *
   * @param settings the settings of the selection
   * @param zone this gateway's availability zone
   * @param request the request, which has a prompt
   * @param hashOwner the engine that hashing assigns, null if there is none
   * @param bound the number of in-flight requests from which other engines are preferred
   * @param kvCapacityTokens the KV cache capacity of each engine, zero if it is unknown
   * @param maxCached the length of the longest prefix that an engine has cached, in tokens
   * @param nowMs the current time, in Unix milliseconds
   */
  PromptCost(
      final SelectorSettings settings,
      final ZoneName zone,
      final RequestProfile request,
      final EndpointState hashOwner,
      final double bound,
      final long kvCapacityTokens,
      final int maxCached,
      final long nowMs) {
    this.settings = settings;
    this.zone = zone;
    this.request = request;
    this.hashOwner = hashOwner;
    this.bound = bound;
    this.kvLimit =
        settings.statedLoad() && kvCapacityTokens > 0
            ? KV_SHARE * kvCapacityTokens - request.heldTokens()
            : Double.POSITIVE_INFINITY;
    this.maxCached = maxCached;
    this.total = PromptSegment.tokens(request.prompt());
    this.shared = total - request.prompt().getLast().tokens();
    this.nowMs = nowMs;
  }

  @Override
  public CostTerms terms(final EndpointState state) {
    final int inFlight = state.inFlight(nowMs);
    if (inFlight >= bound || inFlight > 0 && state.heldTokens(nowMs) > kvLimit) {
      return CostTerms.ofOverBound(bound + inFlight * settings.overBoundMs());
    }
    final int transferred = transferredTokens(state);
    final double missed = total - state.prefixCache().cachedTokens(request.prompt()) - transferred;
    double pending = state.pendingTokens(nowMs);
    double pace = EndpointPace.USUAL;
    double spreadMs = 0;
    if (settings.statedLoad()) {
      pace = state.pace().at(nowMs);
      if (isShort(missed)) {
        pending = Math.min(pending, MAX_DELAYING_TOKENS);
      }
      if (isShort(total)) {
        spreadMs = spreadMs(state);
      }
    }
    final double credit =
        state == hashOwner && maxCached < shared ? HASH_OWNER_CREDIT * (shared - maxCached) : 0;
    final double missedMs = prefillMs(MISS_WEIGHT * missed);
    final double transferMs = prefillMs(TRANSFER_WEIGHT * transferred);
    final double backlogMs = prefillMs(pending);
    final double runningMs = RUNNING_MS * inFlight;
    final double creditMs = prefillMs(MISS_WEIGHT * credit);
    final double usualMs = missedMs + transferMs + backlogMs + runningMs - creditMs;
    return new CostTerms(
        missedMs,
        transferMs,
        backlogMs,
        runningMs,
        -creditMs,
        usualMs * (pace - EndpointPace.USUAL),
        state.entry().zone().equals(zone) ? 0 : OTHER_ZONE_MS,
        spreadMs,
        0);
  }

  /**
   * Returns the part of the prompt that another engine transfers.
   *
   * @param state the engine that gets the prompt
   * @return the number of tokens
   */
  int transferredTokens(final EndpointState state) {
    return Math.max(0, maxCached - state.prefixCache().cachedTokens(request.prompt()));
  }

  boolean isHashOwner(final EndpointState state) {
    return state == hashOwner;
  }

  private double prefillMs(final double tokens) {
    return tokens / settings.prefillTokensPerMs();
  }

  private boolean isShort(final double tokens) {
    return EngineRank.isShort(tokens / settings.prefillTokensPerMs(), request.targetAtMs() - nowMs);
  }

  private double spreadMs(final EndpointState state) {
    final long draw = BitMixer.mix(request.prompt().getLast().id());
    return SPREAD_MS * (BitMixer.mix(draw ^ state.key()) >>> 1) / Long.MAX_VALUE;
  }
}
