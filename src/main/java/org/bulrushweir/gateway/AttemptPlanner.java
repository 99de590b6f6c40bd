package org.bulrushweir.gateway;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.balancing.AttemptOutcome;
import org.bulrushweir.balancing.EndpointSelector;
import org.bulrushweir.balancing.EndpointTracker;
import org.bulrushweir.balancing.PlacementSnapshot;
import org.bulrushweir.balancing.PromptSegment;
import org.bulrushweir.balancing.RetryBudget;
import org.bulrushweir.catalog.EndpointDirectory;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.routing.BitMixer;

/**
 * Says where the attempts of requests go and keeps account of them; used on the event loop only.
 */
final class AttemptPlanner {

  private final EndpointDirectory directory;
  private final EndpointTracker tracker;
  private final EndpointSelector selector;
  private final RetryBudget retryBudget;
  private final PeerMesh mesh;

  /**
   * Creates a planner.
   *
   * @param directory lists the endpoints
   * @param tracker what is known of the endpoints
   * @param selector chooses endpoints
   * @param retryBudget bounds repeats
   * @param mesh tells peers where prompts were sent
   */
  AttemptPlanner(
      final EndpointDirectory directory,
      final EndpointTracker tracker,
      final EndpointSelector selector,
      final RetryBudget retryBudget,
      final PeerMesh mesh) {
    this.directory = directory;
    this.tracker = tracker;
    this.selector = selector;
    this.retryBudget = retryBudget;
    this.mesh = mesh;
  }

  /**
   * Notes that a caller has sent a request.
   *
   * @param order the request
   */
  void requested(final RoutedRequest order) {
    retryBudget.recordRequest(order.service(), order.arrivedMs());
  }

  /**
   * Chooses an endpoint for a request.
   *
   * @param order the request
   * @param excluded endpoints that it has been to
   * @param nowMs the current time
   * @return the endpoint, empty if none takes new work
   */
  Optional<EndpointId> choose(
      final RoutedRequest order, final Set<EndpointId> excluded, final long nowMs) {
    return selector.choose(
        order.service(),
        order.head().prompt(),
        BitMixer.mix(order.head().id().hashCode()),
        excluded,
        nowMs);
  }

  /**
   * Draws on the budget for repeats.
   *
   * @param order the request
   * @param nowMs the current time
   * @return true if the request may be sent once more
   */
  boolean tryRepeat(final RoutedRequest order, final long nowMs) {
    return retryBudget.tryWithdraw(order.service(), nowMs);
  }

  /**
   * Finds an endpoint.
   *
   * @param endpoint its id
   * @return its registration, empty if it is gone
   */
  Optional<EndpointRecord> find(final EndpointId endpoint) {
    return directory.find(endpoint);
  }

  /**
   * Finds an engine that can hand over what another one lacks of a prompt.
   *
   * @param order the request
   * @param endpoint the engine that is about to get the prompt
   * @param nowMs the current time
   * @return the engine, empty if the rest is not worth it
   */
  Optional<EndpointRecord> cacheSource(
      final RoutedRequest order, final EndpointId endpoint, final long nowMs) {
    return tracker.cacheSource(endpoint, order.head().prompt(), nowMs);
  }

  /**
   * Notes that a request is given to an endpoint.
   *
   * @param order the request
   * @param endpoint the endpoint
   * @param source an engine that hands over what the endpoint lacks, empty if there is none
   * @param nowMs the current time
   * @return what was known of the endpoint
   */
  PlacementSnapshot sent(
      final RoutedRequest order,
      final EndpointId endpoint,
      final Optional<EndpointRecord> source,
      final long nowMs) {
    final PlacementSnapshot snapshot =
        tracker.recordAttempt(endpoint, order.head().prompt(), source, nowMs);
    mesh.placed();
    return snapshot;
  }

  /**
   * Notes that an endpoint has read a prompt and begun to answer.
   *
   * @param endpoint the endpoint
   * @param prompt the prompt
   * @param pendingTokens how many tokens it had to read for the request
   * @param nowMs the current time
   */
  void promptRead(
      final EndpointId endpoint,
      final List<PromptSegment> prompt,
      final long pendingTokens,
      final long nowMs) {
    tracker.recordPrefill(endpoint, prompt, pendingTokens, nowMs);
  }

  /**
   * Notes that a request has left an endpoint.
   *
   * @param endpoint the endpoint
   * @param pendingTokens how many tokens it still had to read for the request
   * @param outcome what became of the attempt
   * @param nowMs the current time
   */
  void left(
      final EndpointId endpoint,
      final long pendingTokens,
      final AttemptOutcome outcome,
      final long nowMs) {
    tracker.recordOutcome(endpoint, pendingTokens, outcome, nowMs);
  }
}
