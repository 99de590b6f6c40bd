package org.bulrushweir.gateway;

import io.netty.handler.codec.http.HttpResponse;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.balancing.AttemptOutcome;
import org.bulrushweir.balancing.PlacementSnapshot;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.platform.ResponseTranslator;
import org.bulrushweir.relay.ResponseHead;

/**
 * Records what an attempt tells about its endpoint: the load and the advice that the endpoint
 * states, and the times that it takes.
 *
 * <p>Confined to the event loop.
 */
final class AttemptObserver {

  private static final long NOT_SENT = -1;

  private final GatewayCore core;
  private final RoutedRequest routed;
  private final EndpointId endpoint;
  private final PlacementSnapshot placement;
  private long sentMs = NOT_SENT;
  private boolean success;

  /**
   * Creates the observer of an attempt.
   *
   * @param core the gateway
   * @param routed the request with its route and limits
   * @param endpoint the endpoint that the request is sent to
   * @param placement the endpoint's state before the attempt
   */
  AttemptObserver(
      final GatewayCore core,
      final RoutedRequest routed,
      final EndpointId endpoint,
      final PlacementSnapshot placement) {
    this.core = core;
    this.routed = routed;
    this.endpoint = endpoint;
    this.placement = placement;
  }

  void sent() {
    sentMs = core.nowMs();
  }

  /**
   * Records what the endpoint says about itself.
   *
   * @param target the endpoint as it was registered when the request was sent
   * @param received the head of the response
   * @param head what the head says
   */
  void headReceived(
      final EndpointRecord target, final HttpResponse received, final ResponseHead head) {
    success = head.success();
    if (ResponseTranslator.announcesLeaving(received)) {
      core.planner().recordLeaving(target);
    }
    if (head.holdOffMs() > 0) {
      core.planner().recordHoldOff(target, head.holdOffMs(), core.nowMs());
    }
    ResponseTranslator.statedLoad(received)
        .ifPresent(load -> core.planner().observations().recordStated(target, load, core.nowMs()));
  }

  /** Records the time to the first event of a prompt. */
  void firstPart() {
    if (!isCall()) {
      recordExpectation();
    }
  }

  /**
   * Records the end of the attempt.
   *
   * @param outcome the outcome of the attempt
   */
  void finished(final AttemptOutcome outcome) {
    if (!isCall() || sentMs == NOT_SENT || outcome == AttemptOutcome.REFUSED) {
      return;
    }
    final boolean complete = outcome == AttemptOutcome.ANSWERED;
    if (complete && !success) {
      return;
    }
    if (complete) {
      recordExpectation();
    }
    final long nowMs = core.nowMs();
    core.planner()
        .observations()
        .recordCall(endpoint, placement.startedAtMs(), nowMs - sentMs, complete, nowMs);
  }

  private boolean isCall() {
    return routed.head().prompt().isEmpty() && !routed.isStream();
  }

  private void recordExpectation() {
    if (placement.expectedMs() > 0 && sentMs != NOT_SENT) {
      core.log().recordExpectation(placement.expectedMs(), core.nowMs() - sentMs);
    }
  }
}
