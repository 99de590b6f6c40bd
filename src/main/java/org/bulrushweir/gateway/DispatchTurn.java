package org.bulrushweir.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.bulrushweir.dispatch.DispatchDecision;
import org.bulrushweir.relay.ForwardingRule;

/**
 * A request that is sent when it is its turn. After a wait everything is decided again: whether its
 * caller is there, its deadline, and its route, key and service by the plan that is then in force.
 *
 * <p>Confined to the event loop.
 */
final class DispatchTurn {

  private static final String NOT_RUN = "not_run";

  private final GatewayCore core;
  private final DispatchGate dispatch;
  private final CallerConnection caller;
  private final HttpRequest request;
  private final ByteBuf body;
  private final long arrivedMs;

  /**
   * Creates the turn of a request.
   *
   * @param core the gateway
   * @param dispatch decides when it is its turn
   * @param caller the connection that the response is written to
   * @param request the request line and headers
   * @param body the request body, empty if there is none
   * @param arrivedMs the earliest time at which it may have arrived, in Unix milliseconds
   */
  DispatchTurn(
      final GatewayCore core,
      final DispatchGate dispatch,
      final CallerConnection caller,
      final HttpRequest request,
      final ByteBuf body,
      final long arrivedMs) {
    this.core = core;
    this.dispatch = dispatch;
    this.caller = caller;
    this.request = request;
    this.body = body;
    this.arrivedMs = arrivedMs;
  }

  boolean isCallerOpen() {
    return caller.isOpen();
  }

  /**
   * Sends the request, which has not waited.
   *
   * @param routed the request
   */
  void start(final RoutedRequest routed) {
    core.start(caller, routed, request, body);
  }

  /**
   * Goes on with the request after a wait.
   *
   * @param waited the request as it was routed before
   */
  void resume(final RoutedRequest waited) {
    if (!caller.isOpen()) {
      dispatch.recordUnsent(waited);
      recordLeft(waited);
      return;
    }
    if (!core.isExiting()) {
      final ForwardingRule.Verdict verdict = core.judge(caller, waited.limits().deadlineMs());
      if (verdict == ForwardingRule.Verdict.READ_CALLER) {
        core.polls().afterNextPoll(() -> resume(waited));
        return;
      }
      if (verdict == ForwardingRule.Verdict.TOO_LATE) {
        dispatch.recordUnsent(waited);
        refuse(waited, "deadline exceeded in the queue", core.retryAfterMs());
        return;
      }
    }
    decideAgain(waited);
  }

  private void decideAgain(final RoutedRequest waited) {
    switch (core.decide(waited.head(), arrivedMs)) {
      case RequestAdmission.Rejected rejected -> {
        dispatch.recordUnsent(waited);
        core.refuse(caller, waited.head().id(), rejected);
      }
      case RequestAdmission.Admitted admitted -> {
        final RoutedRequest routed = admitted.request().countedFrom(waited.arrivedMs());
        if (routed.service().equals(waited.service())) {
          dispatch.replaceSent(waited, routed);
          start(routed);
        } else {
          dispatch.recordUnsent(waited);
          dispatch.admit(routed, this);
        }
      }
    }
  }

  /**
   * Rejects the request for lack of capacity.
   *
   * @param routed the request
   * @param rejection the rejection
   */
  void reject(final RoutedRequest routed, final DispatchDecision.Reject rejection) {
    if (caller.isOpen()) {
      refuse(routed, rejection.detail(), rejection.retryAfterMs());
    } else {
      recordLeft(routed);
    }
  }

  private void refuse(final RoutedRequest routed, final String detail, final long retryAfterMs) {
    core.log().recordFinished(routed, withoutAttempt(NOT_RUN, detail));
    caller.refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfterMs);
  }

  /**
   * Records that the caller has left while the request waited.
   *
   * @param routed the request
   */
  void recordLeft(final RoutedRequest routed) {
    core.log()
        .recordFinished(
            routed,
            withoutAttempt(RequestLog.LEFT, "the caller closed its connection in the queue"));
  }

  private static ExchangeResult withoutAttempt(final String outcome, final String detail) {
    return new ExchangeResult(
        Optional.empty(), Optional.empty(), 0, Optional.empty(), false, 0, outcome, detail, -1);
  }
}
