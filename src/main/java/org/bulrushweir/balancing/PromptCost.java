package org.bulrushweir.balancing;

import java.util.function.ToDoubleFunction;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.routing.BitMixer;

/**
 * The cost of an engine for a prompt, in milliseconds: an estimate of the time to first token and
 * of the delay for the other requests of the engine.
 */
final class PromptCost implements ToDoubleFunction<EndpointState> {

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
  public double applyAsDouble(final EndpointState state) {
    final int inFlight = state.inFlight(nowMs);
    if (inFlight >= bound || inFlight > 0 && state.heldTokens(nowMs) > kvLimit) {
      return bound + inFlight * settings.overBoundMs();
    }
    final int cached = state.prefixCache().cachedTokens(request.prompt());
    final int transferred = Math.max(0, maxCached - cached);
    double missed = total - cached - transferred;
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
    if (state == hashOwner && maxCached < shared) {
      missed -= HASH_OWNER_CREDIT * (shared - maxCached);
    }
    final double prefillMs =
        (MISS_WEIGHT * missed + TRANSFER_WEIGHT * transferred + pending)
            / settings.prefillTokensPerMs();
    final double zoneMs = state.entry().zone().equals(zone) ? 0 : OTHER_ZONE_MS;
    return (prefillMs + RUNNING_MS * inFlight) * pace + zoneMs + spreadMs;
  }

  private boolean isShort(final double tokens) {
    return EngineRank.isShort(tokens / settings.prefillTokensPerMs(), request.targetAtMs() - nowMs);
  }

  private double spreadMs(final EndpointState state) {
    final long draw = BitMixer.mix(request.prompt().getLast().id());
    return SPREAD_MS * (BitMixer.mix(draw ^ state.key()) >>> 1) / Long.MAX_VALUE;
  }
}
