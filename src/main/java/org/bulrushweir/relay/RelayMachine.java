package org.bulrushweir.relay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.bulrushweir.api.EndpointId;

/**
 * Brings one request to its end. Events go in, actions come out; the machine does no I/O.
 *
 * <p>The caller is told that its request has not run only if every attempt proves it: nothing was
 * sent, or the endpoint said so. At most one attempt is under way at any time; the one before is
 * aborted first.
 */
public final class RelayMachine {

  /** How many connections are tried in vain before a request is refused. */
  private static final int MAX_UNSENT = 4;

  /** To how many endpoints a request is sent although those before have refused to run it. */
  private static final int MAX_REFUSED = 3;

  private final List<RelayAction> actions = new ArrayList<>();
  private final Set<EndpointId> excluded = new HashSet<>();
  private final RelayLimits limits;
  private final EndpointSource endpoints;
  private AttemptId current;
  private EndpointId currentEndpoint;
  private int attempts;
  private int unsent;
  private int refused;
  private int possibleRuns;
  private boolean passedOn;
  private boolean currentSent;
  private boolean currentAnswers;
  private boolean finished;
  private long lastHeardMs;
  private long endpointRetryAfterMs;
  private String lastDetail = "no endpoint takes new work";

  /**
   * Creates the machine of a request.
   *
   * @param limits the request's limits
   * @param endpoints proposes endpoints
   */
  public RelayMachine(final RelayLimits limits, final EndpointSource endpoints) {
    this.limits = limits;
    this.endpoints = endpoints;
  }

  /**
   * Starts the request.
   *
   * @param nowMs the current time
   * @return what to do
   */
  public List<RelayAction> start(final long nowMs) {
    if (nowMs >= limits.deadlineMs()) {
      refuse("the deadline has passed");
      return takeActions();
    }
    if (!sendNext(nowMs)) {
      refuse(lastDetail);
    }
    return takeActions();
  }

  /**
   * Takes an event; those of attempts that are over change nothing.
   *
   * @param event the event
   * @param nowMs the current time
   * @return what to do
   */
  public List<RelayAction> on(final RelayEvent event, final long nowMs) {
    if (!finished) {
      handle(event, nowMs);
    }
    return takeActions();
  }

  /**
   * Tells whether the request has come to its end.
   *
   * @return true if nothing more is to be done
   */
  public boolean isFinished() {
    return finished;
  }

  /**
   * Returns when the machine wants a {@link RelayEvent.Tick}.
   *
   * @return the time in milliseconds
   */
  public long nextTickMs() {
    return mayRepeat() ? Math.min(limits.deadlineMs(), silentAtMs()) : limits.deadlineMs();
  }

  /**
   * Returns how many attempts there were.
   *
   * @return the number of attempts, those that were never sent included
   */
  public int attempts() {
    return attempts;
  }

  private long silentAtMs() {
    return lastHeardMs + (currentAnswers ? limits.stallTimeoutMs() : limits.firstByteTimeoutMs());
  }

  private List<RelayAction> takeActions() {
    final List<RelayAction> taken = List.copyOf(actions);
    actions.clear();
    return taken;
  }

  private void handle(final RelayEvent event, final long nowMs) {
    switch (event) {
      case RelayEvent.NotSent failed -> {
        if (isCurrent(failed.attempt())) {
          notSent(failed.detail(), nowMs);
        }
      }
      case RelayEvent.Sent sent -> {
        if (isCurrent(sent.attempt())) {
          currentSent = true;
          lastHeardMs = nowMs;
        }
      }
      case RelayEvent.Broken broken -> {
        if (isCurrent(broken.attempt())) {
          possibleRuns++;
          failed(broken.detail(), nowMs);
        }
      }
      case RelayEvent.HeadReceived answered -> {
        if (isCurrent(answered.attempt())) {
          lastHeardMs = nowMs;
          answered(answered.head(), nowMs);
        }
      }
      case RelayEvent.DataReceived progressed -> {
        if (isCurrent(progressed.attempt())) {
          lastHeardMs = nowMs;
        }
      }
      case RelayEvent.Ended ended -> {
        if (isCurrent(ended.attempt())) {
          finish(new RelayAction.Complete());
        }
      }
      case RelayEvent.CallerDisconnected gone -> callerGone();
      case RelayEvent.Tick tick -> tick(nowMs);
    }
  }

  private boolean isCurrent(final AttemptId attempt) {
    return attempt.equals(current);
  }

  private void notSent(final String detail, final long nowMs) {
    unsent++;
    lastDetail = detail;
    if (unsent >= MAX_UNSENT || !sendNext(nowMs)) {
      endWithoutAnswer();
    }
  }

  /** Sends the request to the next endpoint, if there is one. */
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
    currentAnswers = false;
    lastHeardMs = nowMs;
    excluded.add(endpoint);
    actions.add(new RelayAction.Send(current, currentEndpoint, passedOn));
  }

  private void answered(final ResponseHead head, final long nowMs) {
    if (head.notRun()) {
      refusedByEndpoint(head, nowMs);
      return;
    }
    currentAnswers = true;
    if (head.claimsNotRunWithoutProof() || head.success() && !head.authentic()) {
      actions.add(new RelayAction.Abort(current));
      possibleRuns++;
      failed("the answer with status " + head.status() + " can't be trusted", nowMs);
      return;
    }
    if (passedOn) {
      continueWith(head, nowMs);
      return;
    }
    if (head.isServerError() && repeatElsewhere(nowMs)) {
      return;
    }
    passedOn = true;
    actions.add(new RelayAction.Forward(current));
  }

  private void continueWith(final ResponseHead head, final long nowMs) {
    if (head.success()) {
      actions.add(new RelayAction.ForwardResumed(current));
      return;
    }
    actions.add(new RelayAction.Abort(current));
    possibleRuns++;
    failed("the answer could not be resumed: status " + head.status(), nowMs);
  }

  private void refusedByEndpoint(final ResponseHead head, final long nowMs) {
    refused++;
    endpointRetryAfterMs = Math.max(endpointRetryAfterMs, head.retryAfterMs());
    lastDetail = "the endpoint refused with status " + head.status();
    actions.add(new RelayAction.Abort(current));
    if (refused < MAX_REFUSED && nowMs < limits.deadlineMs() && payAndSend(nowMs)) {
      return;
    }
    endWithoutAnswer();
  }

  /** Goes on after an attempt that may have run. */
  private void failed(final String detail, final long nowMs) {
    lastDetail = detail;
    if (mayRepeat() && nowMs < limits.deadlineMs() && payAndSend(nowMs)) {
      return;
    }
    endWithoutAnswer();
  }

  /** Gives up the current attempt for another one, unless there is no other endpoint. */
  private boolean repeatElsewhere(final long nowMs) {
    if (!mayRepeat() || possibleRuns + 1 >= limits.maxExecutions()) {
      return false;
    }
    final AttemptId before = current;
    final int place = actions.size();
    if (!payAndSend(nowMs)) {
      return false;
    }
    possibleRuns++;
    actions.add(place, new RelayAction.Abort(before));
    return true;
  }

  private boolean mayRepeat() {
    return limits.retryable()
        && possibleRuns < limits.maxExecutions()
        && (!passedOn || limits.resumable());
  }

  private boolean payAndSend(final long nowMs) {
    final Optional<EndpointId> next = endpoints.next(excluded, nowMs);
    if (next.isEmpty() || !endpoints.tryRetry(nowMs)) {
      return false;
    }
    send(next.get(), nowMs);
    return true;
  }

  private void tick(final long nowMs) {
    if (nowMs >= limits.deadlineMs()) {
      timedOut();
      return;
    }
    if (nowMs < nextTickMs()) {
      return;
    }
    if (!repeatElsewhere(nowMs)) {
      lastHeardMs = nowMs;
    }
  }

  private void timedOut() {
    actions.add(new RelayAction.Abort(current));
    if (passedOn) {
      finish(new RelayAction.Truncate("the time is up"));
      return;
    }
    if (!currentSent && possibleRuns == 0) {
      refuse("the time is up before the request could be sent");
      return;
    }
    finish(new RelayAction.Refuse(new Refusal(RefusalReason.TIMED_OUT, 0, "the time is up")));
  }

  private void callerGone() {
    finish(new RelayAction.Abort(current));
  }

  private void endWithoutAnswer() {
    if (passedOn) {
      finish(new RelayAction.Truncate(lastDetail));
      return;
    }
    if (possibleRuns > 0) {
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
