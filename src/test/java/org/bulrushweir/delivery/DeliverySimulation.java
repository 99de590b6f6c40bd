package org.bulrushweir.delivery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.bulrushweir.api.AttemptKey;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.RequestId;
import org.bulrushweir.simulation.EventQueue;

/**
 * Runs one request through the production {@link RequestMachine} against simulated endpoints, over
 * a network that loses, duplicates and delays messages and breaks connections.
 */
final class DeliverySimulation {

  private static final int ANSWER_TOKENS = 20;
  private static final long DEADLINE_MS = 20_000;
  private static final long LONG_DELAY_MS = AttemptLedger.RETENTION_MS + 30_000;
  private static final int MAXIMUM_DELAY_MS = 40;
  private static final long DETECTION_MS = 1_500;

  private final EventQueue queue = new EventQueue(0);
  private final Map<EndpointId, SimulatedEndpoint> endpoints = new HashMap<>();
  private final Map<EndpointId, Integer> connections = new HashMap<>();
  private final Map<Integer, Long> incarnations = new HashMap<>();
  private final Map<Integer, Integer> attemptConnections = new HashMap<>();
  private final Map<Integer, EndpointId> attemptEndpoints = new HashMap<>();
  private final List<EndpointId> endpointOrder = new ArrayList<>();
  private final StringBuilder delivered = new StringBuilder();
  private final RequestId request = new RequestId(1);
  private final SplittableRandom random;
  private final DeliveryFaults faults;
  private final RequestMachine machine;
  private RequestOutcome outcome;
  private int startsAtOutcome;

  /**
   * Creates a simulation.
   *
   * @param seed the seed of all random decisions
   * @param faults the faults to inject
   * @param retryable whether running the request twice does no harm
   * @param continuable whether another endpoint can continue an answer that was cut off
   */
  DeliverySimulation(
      final long seed,
      final DeliveryFaults faults,
      final boolean retryable,
      final boolean continuable) {
    this.random = new SplittableRandom(seed);
    this.faults = faults;
    for (int index = 0; index < 3; index++) {
      final EndpointId id = new EndpointId("endpoint-" + index);
      endpointOrder.add(id);
      connections.put(id, 1);
      endpoints.put(id, new SimulatedEndpoint(queue, random.split(), faults, ANSWER_TOKENS));
    }
    final RequestLimits limits =
        new RequestLimits(
            retryable,
            continuable,
            DEADLINE_MS,
            DEADLINE_MS,
            random.nextBoolean() && retryable ? 100 : Long.MAX_VALUE,
            6);
    this.machine =
        new RequestMachine(
            limits,
            (tried, movedTo) ->
                endpointOrder.stream().filter(id -> !tried.contains(id)).findFirst(),
            new ExtraAttemptBudget(0.1, 10),
            new ExtraAttemptBudget(0.1, 10));
  }

  /** Runs the request to its outcome, and on until no message is in flight. */
  DeliverySimulation run() {
    queue.schedule(0, () -> carryOut(machine.start(queue.nowMs())));
    queue.runUntil(DEADLINE_MS + 2 * LONG_DELAY_MS);
    return this;
  }

  Optional<RequestOutcome> outcome() {
    return Optional.ofNullable(outcome);
  }

  String delivered() {
    return delivered.toString();
  }

  int starts() {
    return endpoints.values().stream().mapToInt(SimulatedEndpoint::starts).sum();
  }

  int startsAtOutcome() {
    return startsAtOutcome;
  }

  /**
   * Returns the answer that the caller receives if the request runs.
   *
   * @return the complete text
   */
  static String completeAnswer() {
    final StringBuilder text = new StringBuilder();
    for (int position = 0; position < ANSWER_TOKENS; position++) {
      text.append(SimulatedEndpoint.token(position));
    }
    return text.toString();
  }

  private void feed(final RequestEvent event) {
    carryOut(machine.on(event, queue.nowMs()));
  }

  private void carryOut(final List<RequestAction> actions) {
    for (final RequestAction action : actions) {
      switch (action) {
        case RequestAction.Dispatch dispatch -> dispatch(dispatch);
        case RequestAction.Resume resume -> resume(resume);
        case RequestAction.Cancel cancel -> cancel(cancel);
        case RequestAction.Emit emit -> delivered.append(emit.part().payload().toStringUtf8());
        case RequestAction.Finish finish -> {
          outcome = finish.outcome();
          startsAtOutcome = starts();
        }
      }
    }
    final long tickMs = machine.nextTickMs();
    if (!machine.isFinished() && tickMs < Long.MAX_VALUE) {
      queue.schedule(tickMs - queue.nowMs(), () -> feed(new RequestEvent.Tick()));
    }
  }

  private AttemptKey key(final int attempt) {
    return new AttemptKey(request, attempt);
  }

  private void dispatch(final RequestAction.Dispatch action) {
    final SimulatedEndpoint endpoint = endpoints.get(action.endpoint());
    final int connection = connections.get(action.endpoint());
    final long incarnation = endpoint.incarnation();
    incarnations.put(action.attempt(), incarnation);
    attemptConnections.put(action.attempt(), connection);
    attemptEndpoints.put(action.attempt(), action.endpoint());
    transmit(
        action.attempt(),
        action.endpoint(),
        connection,
        () ->
            endpoint.dispatch(
                connection,
                key(action.attempt()),
                incarnation,
                action.continuationTokens(),
                replies(action.attempt(), action.endpoint(), connection)));
  }

  private void resume(final RequestAction.Resume action) {
    final SimulatedEndpoint endpoint = endpoints.get(action.endpoint());
    final int connection = reconnect(action.endpoint(), attemptConnections.get(action.attempt()));
    attemptConnections.put(action.attempt(), connection);
    transmit(
        action.attempt(),
        action.endpoint(),
        connection,
        () ->
            endpoint.resume(
                connection,
                key(action.attempt()),
                incarnations.get(action.attempt()),
                action.nextSequence(),
                replies(action.attempt(), action.endpoint(), connection)));
  }

  private void cancel(final RequestAction.Cancel action) {
    final SimulatedEndpoint endpoint = endpoints.get(action.endpoint());
    final int connection = connections.get(action.endpoint());
    transmit(
        action.attempt(),
        action.endpoint(),
        connection,
        () ->
            endpoint.cancel(
                connection,
                key(action.attempt()),
                incarnations.get(action.attempt()),
                replies(action.attempt(), action.endpoint(), connection)));
  }

  /** Opens a new connection, unless that was done since the given one was lost. */
  private int reconnect(final EndpointId endpoint, final int lost) {
    if (connections.get(endpoint) == lost) {
      connections.put(endpoint, lost + 1);
    }
    return connections.get(endpoint);
  }

  private SimulatedEndpoint.Replies replies(
      final int attempt, final EndpointId endpoint, final int connection) {
    return event -> transmit(attempt, endpoint, connection, () -> feed(event));
  }

  /** Delivers a message, subject to the faults. */
  private void transmit(
      final int attempt, final EndpointId endpoint, final int connection, final Runnable arrival) {
    if (random.nextDouble() < faults.breakRate()) {
      reportConnectionLoss(attempt, endpoint, connection);
    }
    if (random.nextDouble() < faults.lossRate()) {
      return;
    }
    if (random.nextDouble() < faults.delayRate()) {
      reportConnectionLoss(attempt, endpoint, connection);
      queue.schedule(random.nextBoolean() ? LONG_DELAY_MS : 2 * DETECTION_MS, arrival);
      return;
    }
    queue.schedule(1 + random.nextInt(MAXIMUM_DELAY_MS), arrival);
    if (random.nextDouble() < faults.duplicateRate()) {
      queue.schedule(1 + random.nextInt(MAXIMUM_DELAY_MS), arrival);
    }
  }

  private void reportConnectionLoss(
      final int attempt, final EndpointId endpoint, final int connection) {
    queue.schedule(
        DETECTION_MS,
        () -> {
          final boolean current =
              Integer.valueOf(connection).equals(attemptConnections.get(attempt))
                  && endpoint.equals(attemptEndpoints.get(attempt));
          if (current) {
            feed(new RequestEvent.ConnectionLost(attempt));
          }
        });
  }
}
