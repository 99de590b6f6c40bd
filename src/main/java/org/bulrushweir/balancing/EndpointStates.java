package org.bulrushweir.balancing;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.catalog.EndpointRecord;

/** Holds the states of the registered endpoints and synchronizes them with the directory. */
final class EndpointStates {

  /**
   * The share of an engine's KV cache that holds prompt segments of finished requests. The running
   * requests need the rest.
   */
  private static final double PREFIX_CACHE_SHARE = 0.8;

  /**
   * The KV cache capacity that is assumed while the plan does not state it, in tokens: that of a
   * small engine.
   */
  private static final long DEFAULT_KV_CAPACITY_TOKENS = 200_000;

  /**
   * The smallest number of tokens that is worth a KV cache transfer. An engine prefills fewer
   * tokens as fast as it receives them.
   */
  private static final int MIN_TRANSFER_TOKENS = 256;

  private final Map<EndpointId, EndpointState> states = new HashMap<>();
  private final EndpointDirectory directory;
  private final KvCapacity kvCapacity;
  private long seenChangeCount = -1;

  /**
   * Creates the states of the endpoints of a directory.
   *
   * @param directory the directory of the registered endpoints
   * @param kvCapacity the KV cache capacity of the engines of each service
   */
  EndpointStates(final EndpointDirectory directory, final KvCapacity kvCapacity) {
    this.directory = directory;
    this.kvCapacity = kvCapacity;
  }

  /** Synchronizes the states with the directory if it has changed since the last call. */
  void refresh() {
    if (seenChangeCount == directory.changeCount()) {
      return;
    }
    seenChangeCount = directory.changeCount();
    final Set<EndpointId> listed = new HashSet<>();
    for (final EndpointRecord entry : directory.all()) {
      listed.add(entry.id());
      final EndpointState existing = states.get(entry.id());
      if (existing == null || !existing.isOfRun(entry.startedAtMs())) {
        states.put(entry.id(), new EndpointState(entry, prefixCacheTokens(entry.service())));
      } else {
        existing.update(entry);
      }
    }
    states.values().removeIf(state -> !listed.contains(state.entry().id()) && isUnused(state));
  }

  private static boolean isUnused(final EndpointState state) {
    return state.ownInFlight() == 0;
  }

  private long prefixCacheTokens(final ServiceName service) {
    final long capacity = kvCapacity.tokens(service);
    return (long) (PREFIX_CACHE_SHARE * (capacity == 0 ? DEFAULT_KV_CAPACITY_TOKENS : capacity));
  }

  /**
   * Returns the KV cache capacity of each engine of a service.
   *
   * @param service the service
   * @return the capacity in tokens, zero if it is unknown
   */
  long kvCapacityTokens(final ServiceName service) {
    return kvCapacity.tokens(service);
  }

  /**
   * Returns the state of an endpoint as of the last synchronization.
   *
   * @param endpoint the endpoint
   * @return the state, null if it is not registered
   */
  EndpointState get(final EndpointId endpoint) {
    return states.get(endpoint);
  }

  /**
   * Returns the current state of a run of an endpoint.
   *
   * @param endpoint the endpoint
   * @param startedAtMs the start of the run, in Unix milliseconds
   * @return the state, null if that run has ended or is not registered
   */
  EndpointState ofRun(final EndpointId endpoint, final long startedAtMs) {
    refresh();
    final EndpointState state = states.get(endpoint);
    return state == null || !state.isOfRun(startedAtMs) ? null : state;
  }

  Collection<EndpointState> all() {
    return states.values();
  }

  /**
   * Returns the longest prefix of a prompt that any engine of a service has in its cache. Draining
   * engines count, as they can still transfer their cache.
   *
   * @param service the service
   * @param prompt the segments of the prompt in order
   * @param nowMs the current time, in Unix milliseconds
   * @return the number of tokens that are already prefilled, zero if no engine has the first
   *     segment
   */
  int maxPrefilledTokens(
      final ServiceName service, final List<PromptSegment> prompt, final long nowMs) {
    int most = 0;
    for (final EndpointRecord entry : directory.endpoints(service)) {
      most = Math.max(most, states.get(entry.id()).prefixCache().prefilledTokens(prompt, nowMs));
    }
    return most;
  }

  /**
   * Returns the mean number of in-flight requests of some endpoints.
   *
   * @param endpoints the endpoints
   * @param nowMs the current time, in Unix milliseconds
   * @return the mean, zero if there are no endpoints
   */
  static double meanInFlight(final List<EndpointState> endpoints, final long nowMs) {
    double sum = 0;
    for (final EndpointState state : endpoints) {
      sum += state.inFlight(nowMs);
    }
    return sum / Math.max(1, endpoints.size());
  }

  /**
   * Finds an engine that can transfer the part of a prompt that another engine has not cached.
   *
   * @param target the engine that is going to receive the prompt
   * @param prompt the segments of the prompt in order, not empty
   * @param nowMs the current time, in Unix milliseconds
   * @return the engine with the longest cached prefix, empty if no transfer is worthwhile
   */
  Optional<EndpointRecord> cacheSource(
      final EndpointState target, final List<PromptSegment> prompt, final long nowMs) {
    int most = target.prefixCache().cachedTokens(prompt) + MIN_TRANSFER_TOKENS - 1;
    EndpointRecord source = null;
    for (final EndpointRecord entry : directory.endpoints(target.entry().service())) {
      final EndpointState state = states.get(entry.id());
      final int cached = state.prefixCache().prefilledTokens(prompt, nowMs);
      if (state != target && cached > most && !state.isUnreachable(nowMs)) {
        most = cached;
        source = entry;
      }
    }
    return Optional.ofNullable(source);
  }
}
