package org.bulrushweir.relay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.bulrushweir.api.EndpointId;

/**
 * The state machine of one request at a gateway, which reaches endpoints directly over HTTP.
 * Routers with sidecars use {@code RequestMachine}. It processes events from the first attempt to
 * the final response and returns actions; it does no I/O.
 *
 * <p>The caller is told that its request was not run only if that is proven for every attempt:
 * either nothing was sent or the endpoint said so. At most one attempt is in flight at any time;
 * the previous one has ended or is aborted before the next one is sent.
 */
public final class RelayMachine {

  /** The number of attempts that could not be sent after which the request is not sent again. */
  private static final int MAX_UNSENT_ATTEMPTS = 4;

  /** The number of refusals by endpoints after which the request is not sent again. */
  private static final int MAX_REFUSALS = 3;

  private final List<RelayAction> actions = new ArrayList<>();
  private final Set<EndpointId> excluded = new HashSet<>();
  private final RelayLimits limits;
  private final EndpointSource endpoints;
  private AttemptId current;
  private EndpointId currentEndpoint;
  private int attempts;
  private int unsentAttempts;
  private int refusals;
  private int possibleExecutions;
  private ResponseHead forwardedHead;
  private boolean currentSent;
  private boolean currentHeadReceived;
  private boolean finished;
  private boolean earlyRetryTried;
  private long lastActivityMs;
  private long endpointRetryAfterMs;
  private String lastDetail = "no endpoint accepts new requests";

  /**
   * Creates the state machine of a request.
   *
   * @param limits the limits of the request
   * @param endpoints selects the endpoints of the attempts
   */
  public RelayMachine(final RelayLimits limits, final EndpointSource endpoints) {
    this.limits = limits;
    this.endpoints = endpoints;
  }

  /**
   * Starts the request.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the actions to carry out, in order
   */
  public List<RelayAction> start(final long nowMs) {
    if (nowMs >= limits.deadlineMs()) {
      refuse("the deadline has passed");
      return drainActions();
    }
    if (!sendNext(nowMs)) {
      refuse(lastDetail);
    }
    return drainActions();
  }

  /**
   * Handles an event. Events of attempts other than the current one are ignored.
   *
   * @param event the event
   * @param nowMs the current time, in Unix milliseconds
   * @return the actions to carry out in order, empty if there are none
   */
  public List<RelayAction> on(final RelayEvent event, final long nowMs) {
    if (!finished) {
      handle(event, nowMs);
    }
    return drainActions();
  }

  /**
   * Returns whether the request has ended.
   *
   * @return true if no further action follows
   */
  public boolean isFinished() {
    return finished;
  }

  /**
   * Returns when the machine needs the next {@link RelayEvent.Tick}. Must not be called once the
   * request has ended.
   *
   * @return the time in Unix milliseconds
   */
  public long nextTickMs() {
    return mayRetry()
        ? Math.min(limits.deadlineMs(), Math.min(stalledAtMs(), earlyRetryAtMs()))
        : limits.deadlineMs();
  }

  /**
   * Returns the number of attempts so far.
   *
   * @return the number of attempts, including those for which no connection could be opened
   */
  public int attempts() {
    return attempts;
  }

  private long stalledAtMs() {
    return lastActivityMs
        + (currentHeadReceived ? limits.stallTimeoutMs() : limits.firstByteTimeoutMs());
  }

  private long earlyRetryAtMs() {
    return earlyRetryTried
            || possibleExecutions > 0
            || !currentSent
            || currentHeadReceived
            || limits.earlyRetryMs() >= limits.firstByteTimeoutMs()
        ? Long.MAX_VALUE
        : lastActivityMs + limits.earlyRetryMs();
  }

  private List<RelayAction> drainActions() {
    final List<RelayAction> drained = List.copyOf(actions);
    actions.clear();
    return drained;
  }

  private void handle(final RelayEvent event, final long nowMs) {
    switch (event) {
      case RelayEvent.NotSent failed -> {
        if (isCurrent(failed.attempt())) {
          notSent(failed.detail(), nowMs);
        }
      }
      case RelayEvent.NotAccepted closed -> {
        if (isCurrent(closed.attempt())) {
          notAccepted(closed.detail(), nowMs);
        }
      }
      case RelayEvent.Sent sent -> {
        if (isCurrent(sent.attempt())) {
          currentSent = true;
          lastActivityMs = nowMs;
        }
      }
      case RelayEvent.Broken broken -> {
        if (isCurrent(broken.attempt())) {
          possibleExecutions++;
          failed(broken.detail(), nowMs);
        }
      }
      case RelayEvent.HeadReceived headReceived -> {
        if (isCurrent(headReceived.attempt())) {
          lastActivityMs = nowMs;
          headReceived(headReceived.head(), nowMs);
        }
      }
      case RelayEvent.DataReceived dataReceived -> {
        if (isCurrent(dataReceived.attempt())) {
          lastActivityMs = nowMs;
        }
      }
      case RelayEvent.Ended ended -> {
        if (isCurrent(ended.attempt())) {
          finish(new RelayAction.Complete());
        }
      }
      case RelayEvent.CallerDisconnected disconnected -> callerDisconnected();
      case RelayEvent.ProcessExits exits -> processExits();
      case RelayEvent.Tick tick -> tick(nowMs);
    }
  }

  private boolean isCurrent(final AttemptId attempt) {
    return attempt.equals(current);
  }

  private void notSent(final String detail, final long nowMs) {
    unsentAttempts++;
    lastDetail = detail;
    if (unsentAttempts >= MAX_UNSENT_ATTEMPTS || !sendNext(nowMs)) {
      endWithoutResponse();
    }
  }

  /**
   * Chooses another endpoint. The attempt does not count as unsent, since several endpoints may
   * stop accepting requests at once; it ends as each endpoint is chosen once.
   */
  private void notAccepted(final String detail, final long nowMs) {
    lastDetail = detail;
    if (!sendNext(nowMs)) {
      endWithoutResponse();
    }
  }

  /** Sends the request to the next endpoint; returns false if there is none. */
  private boolean sendNext(final long nowMs) {
    final Optional<EndpointId> next = endpoints.next(excluded, nowMs);
    if (next.isEmpty()) {
      return false;
    }
    send(next.get(), nowMs);
    return true;
  }

  private void send(final EndpointId endpoint, final long nowMs) {
    attempts++;
    current = new AttemptId(attempts);
    currentEndpoint = endpoint;
    currentSent = false;
    currentHeadReceived = false;
    lastActivityMs = nowMs;
    excluded.add(endpoint);
    actions.add(new RelayAction.Send(current, currentEndpoint, isForwarding()));
  }

  private void headReceived(final ResponseHead head, final long nowMs) {
    if (head.notRun()) {
      endpointRefused(head, nowMs);
      return;
    }
    currentHeadReceived = true;
    if (head.claimsNotRunWithoutProof() || head.success() && !head.authentic()) {
      actions.add(new RelayAction.Abort(current));
      possibleExecutions++;
      failed(
          "the response with status "
              + head.status()
              + " was discarded: its origin or its refusal is not proven",
          nowMs);
      return;
    }
    if (isForwarding()) {
      continueWith(head, nowMs);
      return;
    }
    if (head.isServerError() && retryElsewhere(false, nowMs)) {
      return;
    }
    forwardedHead = head;
    actions.add(new RelayAction.Forward(current));
  }

  /** Goes on with the stream; only a response of the same status is the rest of the first one. */
  private void continueWith(final ResponseHead head, final long nowMs) {
    if (head.status() == forwardedHead.status()) {
      actions.add(new RelayAction.ForwardResumed(current));
      return;
    }
    actions.add(new RelayAction.Abort(current));
    possibleExecutions++;
    failed("the stream could not be resumed: status " + head.status(), nowMs);
  }

  private void endpointRefused(final ResponseHead head, final long nowMs) {
    refusals++;
    endpointRetryAfterMs = Math.max(endpointRetryAfterMs, head.retryAfterMs());
    lastDetail = "the endpoint refused with status " + head.status();
    actions.add(new RelayAction.Abort(current));
    if (refusals < MAX_REFUSALS && nowMs < limits.deadlineMs() && sendRetryWithinBudget(nowMs)) {
      return;
    }
    endWithoutResponse();
  }

  /** Retries or ends the request after an attempt that may have run. */
  private void failed(final String detail, final long nowMs) {
    lastDetail = detail;
    if (mayRetry() && nowMs < limits.deadlineMs() && sendRetryWithinBudget(nowMs)) {
      return;
    }
    endWithoutResponse();
  }

  /**
   * Replaces the current attempt by one at another endpoint; returns false if that is not possible.
   */
  private boolean retryElsewhere(final boolean early, final long nowMs) {
    // The current attempt counts as an execution too. An early retry also leaves one for a failure:
    // a late response is worth more than none.
    final int needed = early ? 2 : 1;
    if (!mayRetry() || possibleExecutions + needed >= limits.maxExecutions()) {
      return false;
    }
    final AttemptId previous = current;
    // The abort precedes the Send, but is inserted only once a next endpoint is certain.
    final int abortIndex = actions.size();
    if (!sendRetryWithinBudget(early, nowMs)) {
      return false;
    }
    possibleExecutions++;
    actions.add(abortIndex, new RelayAction.Abort(previous));
    return true;
  }

  private boolean mayRetry() {
    return limits.retryable()
        && possibleExecutions < limits.maxExecutions()
        && (!isForwarding() || limits.resumable() && forwardedHead.success());
  }

  private boolean isForwarding() {
    return forwardedHead != null;
  }

  private boolean sendRetryWithinBudget(final long nowMs) {
    return sendRetryWithinBudget(false, nowMs);
  }

  private boolean sendRetryWithinBudget(final boolean early, final long nowMs) {
    final Optional<EndpointId> next = endpoints.next(excluded, nowMs);
    if (next.isEmpty() || !(early ? endpoints.tryEarlyRetry(nowMs) : endpoints.tryRetry(nowMs))) {
      return false;
    }
    send(next.get(), nowMs);
    return true;
  }

  private void tick(final long nowMs) {
    if (nowMs >= limits.deadlineMs()) {
      deadlineExceeded();
      return;
    }
    if (nowMs < nextTickMs()) {
      return;
    }
    if (nowMs < stalledAtMs()) {
      // Without budget the attempt goes on until it is stalled.
      earlyRetryTried = true;
      retryElsewhere(true, nowMs);
      return;
    }
    if (!retryElsewhere(false, nowMs)) {
      // No other endpoint may be tried: waits for another timeout.
      lastActivityMs = nowMs;
    }
  }

  private void deadlineExceeded() {
    actions.add(new RelayAction.Abort(current));
    if (isForwarding()) {
      finish(new RelayAction.Truncate("deadline exceeded"));
      return;
    }
    if (!currentSent && possibleExecutions == 0) {
      refuse("deadline exceeded before the request could be sent");
      return;
    }
    finish(new RelayAction.Refuse(new Refusal(RefusalReason.TIMED_OUT, 0, "deadline exceeded")));
  }

  /**
   * Answers the caller if no response has started. A response that has started goes on: it may end
   * before the process does, and nothing else can be sent in its place.
   */
  private void processExits() {
    if (isForwarding()) {
      return;
    }
    actions.add(new RelayAction.Abort(current));
    if (currentSent) {
      possibleExecutions++;
    }
    lastDetail = "the process stops";
    endWithoutResponse();
  }

  private void callerDisconnected() {
    finish(new RelayAction.Abort(current));
  }

  private void endWithoutResponse() {
    if (isForwarding()) {
      finish(new RelayAction.Truncate(lastDetail));
      return;
    }
    if (possibleExecutions > 0) {
      finish(new RelayAction.Refuse(new Refusal(RefusalReason.FAILED, 0, lastDetail)));
      return;
    }
    refuse(lastDetail);
  }

  private void refuse(final String detail) {
    final long adviceMs = Math.max(endpointRetryAfterMs, endpoints.retryAfterMs());
    finish(new RelayAction.Refuse(new Refusal(RefusalReason.NOT_RUN, adviceMs, detail)));
  }

  private void finish(final RelayAction last) {
    finished = true;
    actions.add(last);
  }
}
