package org.bulrushweir.gateway;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.balancing.EndpointTracker;
import org.bulrushweir.balancing.PromptSegment;
import org.bulrushweir.dispatch.DispatchDecision;
import org.bulrushweir.dispatch.DispatchPolicy;
import org.bulrushweir.dispatch.DispatchRequest;
import org.bulrushweir.dispatch.DispatchSettings;
import org.bulrushweir.dispatch.RejectedPrompts;
import org.bulrushweir.dispatch.ServiceDispatcher;
import org.bulrushweir.dispatch.ServiceLoad;
import org.bulrushweir.dispatch.WaitingRequest;
import org.bulrushweir.kernel.PeriodicTask;
import org.bulrushweir.routing.BitMixer;

/**
 * Holds requests while their service has no room. The queues are looked at whenever a request ends,
 * and periodically while one is not empty.
 *
 * <p>Confined to the event loop.
 */
final class DispatchGate {

  /** The time between two looks at queues that are not empty, in milliseconds. */
  private static final long TICK_MS = 20;

  /** The output that is assumed for a prompt without a limit, in tokens: a usual answer. */
  private static final long DEFAULT_OUTPUT_TOKENS = 256;

  /**
   * The time between two looks for requests that can't be served in time any more, in milliseconds.
   * Each takes some milliseconds for a full queue.
   */
  private static final long REJECT_INTERVAL_MS = 100;

  private static final String ANSWERED = "answered";

  private final Map<ServiceName, ServiceDispatcher> services = new HashMap<>();
  private final Map<Long, Held> held = new HashMap<>();
  private final Map<RoutedRequest, Sent> sent = new IdentityHashMap<>();
  private final RejectedPrompts rejectedPrompts = new RejectedPrompts();
  private final PeriodicTask tick = new PeriodicTask("look at the queues", this::lookAtQueues);
  private final DispatchSettings settings;
  private final DispatchPolicy policy;
  private final Clock clock;
  private final EventLoop loop;
  private final EndpointTracker tracker;
  private final QueueMetrics metrics;
  private long lastNumber;
  private long lastRejectedMs;
  private boolean tickScheduled;
  private boolean pollScheduled;

  /**
   * Creates a gate that holds nothing.
   *
   * @param settings the settings of queueing
   * @param policy decides on each request
   * @param clock the process's clock
   * @param loop the event loop
   * @param tracker knows the load of the endpoints
   * @param metrics the metrics to update
   */
  DispatchGate(
      final DispatchSettings settings,
      final DispatchPolicy policy,
      final Clock clock,
      final EventLoop loop,
      final EndpointTracker tracker,
      final QueueMetrics metrics) {
    this.settings = settings;
    this.policy = policy;
    this.clock = clock;
    this.loop = loop;
    this.tracker = tracker;
    this.metrics = metrics;
  }

  int waiting() {
    return held.size();
  }

  Map<ServiceName, ServiceDispatcher> services() {
    return services;
  }

  /**
   * Sends, holds or rejects a request.
   *
   * @param routed the request
   * @param turn what happens to it
   */
  void admit(final RoutedRequest routed, final DispatchTurn turn) {
    if (!settings.queue()) {
      turn.start(routed);
      return;
    }
    final long nowMs = clock.nowMs();
    final ServiceDispatcher dispatcher =
        services.computeIfAbsent(routed.service(), service -> new ServiceDispatcher(policy));
    final DispatchRequest request = request(routed, dispatcher, nowMs);
    final ServiceLoad load = load(routed, dispatcher, nowMs);
    switch (dispatcher.offer(request, load, nowMs)) {
      case DispatchDecision.SendNow send -> {
        sent.put(routed, new Sent(dispatcher, request, nowMs));
        turn.start(routed);
      }
      case DispatchDecision.Wait wait -> {
        held.put(request.number(), new Held(dispatcher, request, routed, turn));
        scheduleTick();
      }
      case DispatchDecision.Reject rejection -> reject(request, routed, turn, rejection);
    }
    dispatcher.takeDisplaced().ifPresent(this::reject);
  }

  /**
   * Tells what would happen to a request that arrived now. Changes nothing.
   *
   * @param routed the request
   * @return the decision and what it rests on, empty if requests are sent without a queue
   */
  Optional<DispatchPreview> preview(final RoutedRequest routed) {
    if (!settings.queue()) {
      return Optional.empty();
    }
    final long nowMs = clock.nowMs();
    final ServiceDispatcher known = services.get(routed.service());
    final ServiceDispatcher dispatcher = known == null ? new ServiceDispatcher(policy) : known;
    final List<PromptSegment> prompt = routed.head().prompt();
    final long sinceMs =
        prompt.isEmpty()
            ? routed.arrivedMs()
            : rejectedPrompts.previewSinceMs(routed.organisation(), hash(prompt), nowMs);
    final ServiceLoad load = load(routed, dispatcher, nowMs);
    return Optional.of(
        new DispatchPreview(
            dispatcher.preview(request(routed, dispatcher, lastNumber + 1, sinceMs), load, nowMs),
            load,
            dispatcher.waiting()));
  }

  private DispatchRequest request(
      final RoutedRequest routed, final ServiceDispatcher dispatcher, final long nowMs) {
    lastNumber++;
    final List<PromptSegment> prompt = routed.head().prompt();
    final long sinceMs =
        prompt.isEmpty()
            ? routed.arrivedMs()
            : rejectedPrompts.sinceMs(routed.organisation(), hash(prompt), nowMs);
    return request(routed, dispatcher, lastNumber, sinceMs);
  }

  private static DispatchRequest request(
      final RoutedRequest routed,
      final ServiceDispatcher dispatcher,
      final long number,
      final long sinceMs) {
    final List<PromptSegment> prompt = routed.head().prompt();
    final double work =
        prompt.isEmpty()
            ? dispatcher.expectedMs()
            : PromptSegment.tokens(prompt)
                + routed.head().outputTokens().orElse(DEFAULT_OUTPUT_TOKENS);
    return new DispatchRequest(
        number,
        routed.priority(),
        routed.organisation(),
        routed.arrivedMs(),
        sinceMs,
        routed.route().latencyTargetMs(),
        routed.limits().deadlineMs(),
        work);
  }

  private static long hash(final List<PromptSegment> prompt) {
    long hash = 0;
    for (final PromptSegment segment : prompt) {
      hash = BitMixer.mix(hash ^ segment.id());
    }
    return hash;
  }

  private ServiceLoad load(
      final ServiceName service, final ServiceDispatcher dispatcher, final long nowMs) {
    return new ServiceLoad(
        tracker.room(service, nowMs),
        tracker.ownInFlight(service, nowMs),
        dispatcher.gateways(nowMs),
        0);
  }

  private ServiceLoad load(
      final RoutedRequest routed, final ServiceDispatcher dispatcher, final long nowMs) {
    final ServiceLoad load = load(routed.service(), dispatcher, nowMs);
    return routed.head().prompt().isEmpty() || !load.isHalfTaken()
        ? load
        : load.withPrefill(tracker.shortestPrefillMs(routed.service(), nowMs));
  }

  private void scheduleTick() {
    if (!tickScheduled) {
      tickScheduled = true;
      loop.schedule(tick, TICK_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void lookAtQueues() {
    tickScheduled = false;
    if (!held.isEmpty()) {
      scheduleTick();
    }
    dropLeft();
    sendWaiting();
    final long nowMs = clock.nowMs();
    if (nowMs - lastRejectedMs >= REJECT_INTERVAL_MS) {
      lastRejectedMs = nowMs;
      rejectLate(nowMs);
    }
  }

  private void rejectLate(final long nowMs) {
    for (final Map.Entry<ServiceName, ServiceDispatcher> entry : List.copyOf(services.entrySet())) {
      if (entry.getValue().waiting() > 0) {
        final ServiceLoad load = load(entry.getKey(), entry.getValue(), nowMs);
        entry.getValue().rejectLate(load, nowMs).forEach(this::reject);
      }
    }
  }

  /** Removes the requests whose callers have left. */
  private void dropLeft() {
    for (final Map.Entry<Long, Held> entry : List.copyOf(held.entrySet())) {
      final Held request = entry.getValue();
      if (!request.turn.isCallerOpen()) {
        held.remove(entry.getKey());
        request.dispatcher.remove(request.request);
        request.turn.recordLeft(request.routed);
      }
    }
  }

  private void sendNext(final ServiceName service, final ServiceDispatcher dispatcher) {
    final long nowMs = clock.nowMs();
    Optional<WaitingRequest> next = dispatcher.next(load(service, dispatcher, nowMs), nowMs);
    while (next.isPresent()) {
      resume(next.get(), nowMs);
      next = dispatcher.next(load(service, dispatcher, nowMs), nowMs);
    }
  }

  private void resume(final WaitingRequest waiting, final long nowMs) {
    final Held request = held.remove(waiting.request().number());
    metrics.recordWait(nowMs - waiting.queuedMs(), waiting.estimatedMs());
    sent.put(request.routed, new Sent(request.dispatcher, waiting.request(), nowMs));
    request.turn.resume(request.routed);
  }

  private void reject(final ServiceDispatcher.Rejection rejection) {
    final DispatchRequest request = rejection.waiting().request();
    final Held removed = held.remove(request.number());
    reject(request, removed.routed, removed.turn, rejection.decision());
  }

  private void reject(
      final DispatchRequest request,
      final RoutedRequest routed,
      final DispatchTurn turn,
      final DispatchDecision.Reject rejection) {
    metrics.recordRejection(rejection.reason());
    if (!routed.head().prompt().isEmpty()) {
      rejectedPrompts.record(
          request.organisation(),
          hash(routed.head().prompt()),
          request.sinceMs(),
          rejection.retryAfterMs(),
          clock.nowMs());
    }
    turn.reject(routed, rejection);
  }

  /** Ends all waits, because the process is about to exit. */
  void releaseAll() {
    final List<Held> all = new ArrayList<>(held.values());
    held.clear();
    for (final Held request : all) {
      request.dispatcher.remove(request.request);
      request.turn.resume(request.routed);
    }
  }

  /**
   * Records that a request which was to be sent is not sent to its service.
   *
   * @param routed the request
   */
  void recordUnsent(final RoutedRequest routed) {
    final Sent request = sent.remove(routed);
    if (request != null) {
      request.dispatcher.recordUnsent(request.request, clock.nowMs());
    }
  }

  /**
   * Replaces a request that is about to be sent by the one that was routed anew.
   *
   * @param before the request as it was routed before its wait
   * @param after the request as it is sent
   */
  void replaceSent(final RoutedRequest before, final RoutedRequest after) {
    final Sent request = sent.remove(before);
    if (request != null) {
      sent.put(after, request);
    }
  }

  /**
   * Records the end of a request.
   *
   * @param routed the request
   * @param result its result
   */
  void recordFinished(final RoutedRequest routed, final ExchangeResult result) {
    final Sent request = sent.remove(routed);
    if (request == null) {
      return;
    }
    if (result.outcome().equals(ANSWERED)) {
      final long nowMs = clock.nowMs();
      final boolean timed = routed.head().prompt().isEmpty();
      request.dispatcher.recordCompletion(request.request, timed, nowMs - request.sentMs, nowMs);
    }
    if (!held.isEmpty() && !pollScheduled) {
      pollScheduled = true;
      // Not at once: the exchange that ends is still handling its actions.
      loop.execute(this::sendWaiting);
    }
  }

  private void sendWaiting() {
    pollScheduled = false;
    for (final Map.Entry<ServiceName, ServiceDispatcher> entry : List.copyOf(services.entrySet())) {
      if (entry.getValue().waiting() > 0) {
        sendNext(entry.getKey(), entry.getValue());
      }
    }
  }

  /**
   * A request in a queue.
   *
   * @param dispatcher the dispatcher of its service
   * @param request the request as the dispatcher knows it
   * @param routed the request
   * @param turn what happens to it
   */
  private record Held(
      ServiceDispatcher dispatcher,
      DispatchRequest request,
      RoutedRequest routed,
      DispatchTurn turn) {}

  /**
   * A request that was sent.
   *
   * @param dispatcher the dispatcher of its service
   * @param request the request
   * @param sentMs the time, in Unix milliseconds
   */
  private record Sent(ServiceDispatcher dispatcher, DispatchRequest request, long sentMs) {}
}
