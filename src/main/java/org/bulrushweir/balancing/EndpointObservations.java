package org.bulrushweir.balancing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.catalog.EndpointRecord;

/** Records what endpoints state about their load and how long their calls take. */
public final class EndpointObservations {

  private final Map<ServiceName, CallTimes> callTimes = new HashMap<>();
  private final EndpointStates states;
  private final PrefillRecorder prefills;

  /**
   * Creates observations without any call.
   *
   * @param states the states of the endpoints
   * @param prefills estimates the times of prefills
   */
  EndpointObservations(final EndpointStates states, final PrefillRecorder prefills) {
    this.states = states;
    this.prefills = prefills;
  }

  /**
   * Records the load that an endpoint states in a response.
   *
   * @param endpoint the endpoint as it was registered when the request was sent
   * @param load the stated load
   * @param nowMs the current time, in Unix milliseconds
   */
  public void recordStated(final EndpointRecord endpoint, final StatedLoad load, final long nowMs) {
    final EndpointState state = states.ofRun(endpoint.id(), endpoint.startedAtMs());
    if (state != null && load.pace().isPresent()) {
      state.pace().recordStated(load.pace().getAsDouble(), nowMs);
    }
  }

  /**
   * Records the time of a call.
   *
   * @param endpoint the endpoint
   * @param startedAtMs the start of the endpoint's process when the call was sent
   * @param ms the time since the call was sent, in milliseconds
   * @param complete false if the call was given up after this time
   * @param nowMs the current time, in Unix milliseconds
   */
  public void recordCall(
      final EndpointId endpoint,
      final long startedAtMs,
      final long ms,
      final boolean complete,
      final long nowMs) {
    final EndpointState state = states.ofRun(endpoint, startedAtMs);
    if (state == null) {
      return;
    }
    final CallTimes times = times(state.entry().service());
    final double meanMs = times.meanMs();
    if (meanMs > 0 && (complete || ms > meanMs)) {
      state.pace().recordMeasured(ms / meanMs, nowMs);
    }
    times.record(ms, complete, nowMs);
  }

  private CallTimes times(final ServiceName service) {
    return callTimes.computeIfAbsent(service, name -> new CallTimes());
  }

  /**
   * Returns the mean time of the recent calls of a service.
   *
   * @param service the service
   * @return the time in milliseconds, zero while too few calls are known
   */
  double callMeanMs(final ServiceName service) {
    return times(service).meanMs();
  }

  /**
   * Returns when a second attempt at a call, which replaces the first, becomes likelier to meet the
   * target than the first one.
   *
   * @param service the service
   * @param targetMs the target for the time of the call, in milliseconds
   * @return the time since the first attempt was sent in milliseconds, {@link Long#MAX_VALUE} if
   *     that is never so
   */
  public long secondAttemptMs(final ServiceName service, final long targetMs) {
    return times(service).secondAttemptMs(targetMs);
  }

  /**
   * Returns how many endpoints seem to be slow.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the number
   */
  public long slowCount(final long nowMs) {
    return states.all().stream()
        .filter(state -> state.pace().at(nowMs) >= EndpointPace.SLOW)
        .count();
  }

  /**
   * Returns the expected time to the first event or, for a call, to its end.
   *
   * @param state the endpoint, without the request
   * @param prompt the segments of the prompt in order, empty for a call
   * @param cachedTokens the number of its tokens that the endpoint has cached
   * @param nowMs the current time, in Unix milliseconds
   * @return the time in milliseconds, zero if it is unknown
   */
  long expectedMs(
      final EndpointState state,
      final List<PromptSegment> prompt,
      final int cachedTokens,
      final long nowMs) {
    if (prompt.isEmpty()) {
      final int slots = Math.max(1, state.entry().slots());
      final double queue = (double) Math.max(0, state.inFlight(nowMs) + 1 - slots) / slots;
      return (long) (callMeanMs(state.entry().service()) * (1 + queue) * state.pace().at(nowMs));
    }
    final long tokens = state.pendingTokens(nowMs) + PromptSegment.tokens(prompt) - cachedTokens;
    return (long) (prefills.prefillMs(tokens) * state.pace().at(nowMs));
  }
}
