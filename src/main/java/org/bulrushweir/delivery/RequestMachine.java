package org.bulrushweir.delivery;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.bulrushweir.api.EndpointId;

/**
 * State machine of one request at a router, which reaches endpoints through their sidecars;
 * gateways use {@code RelayMachine}. From the first attempt to the outcome, it consumes events and
 * returns actions; it does no I/O and reads no clock. Not thread-safe.
 *
 * <p>The outcome is {@link RequestOutcome.NotRun} only if every attempt is proven not to have run:
 * it was never sent, was refused, or its sidecar has confirmed that it was not started and never
 * will be.
 */
public final class RequestMachine {

  /** The time after which an attempt that could not be resumed counts as failed. */
  private static final long RESUME_TIMEOUT_MS = 3_000;

  /** The delay before resuming again if the connection is lost while resuming. */
  private static final long RESUME_INTERVAL_MS = 200;

  /** The time within which a sidecar must answer a cancellation. */
  private static final long CANCEL_TIMEOUT_MS = 500;

  /** The time after the end of an answer after which its missing parts are requested again. */
  private static final long MISSING_PART_TIMEOUT_MS = 300;

  /** The multiple of the expected time to first token after which an accepted attempt is hedged. */
  private static final long HEDGE_FACTOR = 2;

  private final Map<Integer, Attempt> attempts = new TreeMap<>();
  private final Set<EndpointId> tried = new HashSet<>();
  private final List<RequestAction> actions = new ArrayList<>();
  private final StringBuilder deliveredText = new StringBuilder();

  /** The parts of an answer that can't be continued, held back until the answer is complete. */
  private final List<AnswerPart> bufferedParts = new ArrayList<>();

  private final RequestLimits limits;
  private final CandidateSource candidates;
  private final ExtraAttemptBudget retryBudget;
  private final ExtraAttemptBudget hedgeBudget;
  private int deliveredTokens;

  /** The attempt whose answer is forwarded, null if there is none at present. */
  private Attempt selected;

  /**
   * Whether some attempt is not proven not to have run, so that the outcome can no longer be {@link
   * RequestOutcome.NotRun}.
   */
  private boolean mayHaveRun;

  private boolean hedged;
  private boolean deadlineExceeded;
  private boolean finished;
  private String lastDetail = "no endpoint is available";
  private RefusalKind lastRefusal = RefusalKind.NO_ENDPOINT;

  /** The longest delay before a retry that a refusal advised, in milliseconds. */
  private long retryAfterMs;

  /** The endpoint to which a refusal redirected the request, null if unknown. */
  private EndpointId movedTo;

  /** The endpoint that reported the chat's KV cache in a refusal, null if unknown. */
  private EndpointId cacheAt;

  /** The time of the hedge, in milliseconds of the router's clock. */
  private long hedgeAtMs;

  /**
   * Creates the state machine of one request.
   *
   * @param limits the request's limits
   * @param candidates selects the endpoints
   * @param retryBudget limits the attempts that follow a failed one which may have run
   * @param hedgeBudget limits the hedges
   */
  public RequestMachine(
      final RequestLimits limits,
      final CandidateSource candidates,
      final ExtraAttemptBudget retryBudget,
      final ExtraAttemptBudget hedgeBudget) {
    this.limits = limits;
    this.candidates = candidates;
    this.retryBudget = retryBudget;
    this.hedgeBudget = hedgeBudget;
    this.hedgeAtMs = limits.hedgeAtMs();
  }

  /**
   * Starts the request with its first attempt.
   *
   * @param nowMs the current time of the router's clock, in milliseconds
   * @return the actions to carry out, in order
   */
  public List<RequestAction> start(final long nowMs) {
    retryBudget.deposit();
    hedgeBudget.deposit();
    tryNext(nowMs);
    return flushActions();
  }

  /**
   * Continues a request whose caller lost the connection to another router, by resuming the attempt
   * that was running.
   *
   * @param number the number of the attempt
   * @param endpoint the endpoint at which it was running
   * @param nextSequence the sequence number of the first part that the caller has not received
   * @param nowMs the current time of the router's clock, in milliseconds
   * @return the actions to carry out, in order
   */
  public List<RequestAction> takeOver(
      final int number, final EndpointId endpoint, final int nextSequence, final long nowMs) {
    final Attempt attempt = new Attempt(number, endpoint, nextSequence);
    attempts.put(number, attempt);
    mayHaveRun = true;
    attempt.startResuming(nowMs + RESUME_TIMEOUT_MS);
    resume(attempt);
    return flushActions();
  }

  /**
   * Processes an event. Events after the outcome, and those of attempts that have finished, are
   * ignored.
   *
   * @param event the event
   * @param nowMs the current time of the router's clock, in milliseconds
   * @return the actions to carry out in order, empty if there are none
   */
  public List<RequestAction> on(final RequestEvent event, final long nowMs) {
    if (!finished) {
      handle(event, nowMs);
    }
    return flushActions();
  }

  /**
   * Returns whether the request has an outcome.
   *
   * @return true once a {@link RequestAction.Finish} was returned
   */
  public boolean isFinished() {
    return finished;
  }

  /**
   * Returns when the state machine expects the next {@link RequestEvent.Tick}.
   *
   * @return the earliest expiry of a timer, in milliseconds of the router's clock, {@link
   *     Long#MAX_VALUE} if no timer is set
   */
  public long nextTickMs() {
    long next = deadlineExceeded ? Long.MAX_VALUE : limits.deadlineMs();
    if (mayHedge()) {
      next = Math.min(next, hedgeAtMs);
    }
    for (final Attempt attempt : attempts.values()) {
      next = Math.min(next, Math.min(attempt.timeoutAtMs(), attempt.resumeAtMs()));
    }
    return next;
  }

  private List<RequestAction> flushActions() {
    final List<RequestAction> flushed = List.copyOf(actions);
    actions.clear();
    return flushed;
  }

  private void handle(final RequestEvent event, final long nowMs) {
    switch (event) {
      case RequestEvent.Accepted accepted ->
          findLive(accepted.attempt())
              .ifPresent(attempt -> accepted(attempt, accepted.firstTokenInMs(), nowMs));
      case RequestEvent.Refused refused ->
          findLive(refused.attempt()).ifPresent(attempt -> refused(attempt, refused, nowMs));
      case RequestEvent.PartArrived arrived ->
          findLive(arrived.attempt()).ifPresent(attempt -> partArrived(attempt, arrived, nowMs));
      case RequestEvent.Ended ended ->
          findLive(ended.attempt()).ifPresent(attempt -> ended(attempt, ended.end(), nowMs));
      case RequestEvent.ConnectionLost lost ->
          findLive(lost.attempt()).ifPresent(attempt -> connectionLost(attempt, nowMs));
      case RequestEvent.ResumeAnswered answered ->
          findLive(answered.attempt())
              .ifPresent(attempt -> resumeAnswered(attempt, answered.answer(), nowMs));
      case RequestEvent.CancelAnswered answered ->
          findLive(answered.attempt())
              .ifPresent(attempt -> cancelAnswered(attempt, answered.notStarted(), nowMs));
      case RequestEvent.CallerDisconnected disconnected -> callerDisconnected();
      case RequestEvent.Tick tick -> tick(nowMs);
    }
  }

  private void accepted(final Attempt attempt, final long firstTokenInMs, final long nowMs) {
    attempt.markAccepted();
    if (hedgeAtMs < Long.MAX_VALUE) {
      hedgeAtMs = Math.max(hedgeAtMs, nowMs + HEDGE_FACTOR * firstTokenInMs);
    }
  }

  private Optional<Attempt> findLive(final int number) {
    return Optional.ofNullable(attempts.get(number)).filter(Attempt::isLive);
  }

  private boolean anyLive() {
    return attempts.values().stream().anyMatch(Attempt::isLive);
  }

  private void refused(
      final Attempt attempt, final RequestEvent.Refused refused, final long nowMs) {
    if (refused.kind() == RefusalKind.WRONG_INCARNATION) {
      failAttempt(attempt, "the sidecar was restarted", nowMs);
      return;
    }
    attempt.settle();
    lastRefusal = refused.kind();
    lastDetail = refused.detail();
    retryAfterMs = Math.max(retryAfterMs, refused.retryAfterMs());
    if (refused.movedTo() != null) {
      movedTo = refused.movedTo();
    }
    if (refused.cachedTokens() > 0) {
      cacheAt = attempt.endpoint();
    }
    if (anyLive()) {
      return;
    }
    if (refused.kind().retryableElsewhere()) {
      tryNext(nowMs);
      return;
    }
    finishWithoutAnswer();
  }

  private void tryNext(final long nowMs) {
    if (deadlineExceeded
        || nowMs >= limits.deadlineMs()
        || attempts.size() >= limits.maximumAttempts()) {
      finishWithoutAnswer();
      return;
    }
    final Optional<EndpointId> candidate = candidates.next(tried, movedTo);
    if (candidate.isEmpty()) {
      finishWithoutAnswer();
      return;
    }
    dispatch(candidate.get(), nowMs);
  }

  private void dispatch(final EndpointId endpoint, final long nowMs) {
    final int number = attempts.size() + 1;
    attempts.put(number, new Attempt(number, endpoint, 0));
    tried.add(endpoint);
    actions.add(
        new RequestAction.Dispatch(
            number,
            endpoint,
            limits.deadlineMs() - nowMs,
            Math.max(1, limits.firstTokenDeadlineMs() - nowMs),
            cacheAt == null ? candidates.cacheAt(endpoint).orElse(null) : cacheAt,
            deliveredText.toString(),
            deliveredTokens));
  }

  private void partArrived(
      final Attempt attempt, final RequestEvent.PartArrived arrived, final long nowMs) {
    attempt.markAccepted();
    if (!select(attempt, nowMs)) {
      return;
    }
    int sequence = attempt.assembler().nextSequence();
    for (final AnswerPart part : attempt.assembler().accept(arrived.sequence(), arrived.part())) {
      deliver(attempt, sequence, part);
      sequence++;
    }
    finishIfComplete(attempt);
  }

  private void deliver(final Attempt attempt, final int sequence, final AnswerPart part) {
    if (!limits.continuable()) {
      bufferedParts.add(part);
      return;
    }
    deliveredText.append(part.payload().toStringUtf8());
    deliveredTokens += part.tokens();
    actions.add(new RequestAction.Emit(part, attempt.endpoint(), attempt.number(), sequence));
  }

  /**
   * Selects an attempt as the one whose answer is forwarded to the caller, unless another is
   * selected, and cancels the others.
   */
  private boolean select(final Attempt attempt, final long nowMs) {
    if (selected != null) {
      return selected == attempt;
    }
    selected = attempt;
    for (final Attempt other : attempts.values()) {
      if (other != attempt && other.isLive()) {
        cancel(other, nowMs);
        // The reply is not awaited, since the selected answer decides the outcome.
        other.settle();
      }
    }
    return true;
  }

  private void ended(final Attempt attempt, final AttemptEnd end, final long nowMs) {
    switch (end) {
      case AttemptEnd.Ran ran -> {
        if (!select(attempt, nowMs)) {
          // Another attempt's answer is forwarded; this one is discarded.
          attempt.settle();
          return;
        }
        attempt.markAccepted();
        attempt.recordEnd(ran);
        attempt.resumeAt(nowMs + MISSING_PART_TIMEOUT_MS);
        finishIfComplete(attempt);
      }
      case AttemptEnd.Broken broken -> failAttempt(attempt, broken.detail(), nowMs);
      case AttemptEnd.Unknown unknown -> failAttempt(attempt, unknown.detail(), nowMs);
    }
  }

  private void finishIfComplete(final Attempt attempt) {
    if (!attempt.hasCompleteAnswer()) {
      return;
    }
    int sequence = 0;
    for (final AnswerPart part : bufferedParts) {
      actions.add(new RequestAction.Emit(part, attempt.endpoint(), attempt.number(), sequence));
      sequence++;
    }
    finish(new RequestOutcome.Ran(attempt.end().summary(), attempt.endpoint()));
  }

  /**
   * Ends an attempt that may have run but has not delivered a complete answer; if no other attempt
   * is live, retries a retryable request as far as the retry budget allows.
   */
  private void failAttempt(final Attempt attempt, final String detail, final long nowMs) {
    attempt.settle();
    mayHaveRun = true;
    lastDetail = detail;
    if (selected == attempt) {
      selected = null;
      bufferedParts.clear();
    }
    if (anyLive()) {
      return;
    }
    if (!limits.retryable() || !retryBudget.tryWithdraw()) {
      finishWithoutAnswer();
      return;
    }
    tryNext(nowMs);
  }

  private void connectionLost(final Attempt attempt, final long nowMs) {
    if (attempt.state() == Attempt.State.CANCELLING) {
      return;
    }
    final boolean wasResuming = attempt.state() == Attempt.State.RESUMING;
    attempt.startResuming(nowMs + RESUME_TIMEOUT_MS);
    if (wasResuming) {
      attempt.resumeAt(nowMs + RESUME_INTERVAL_MS);
      return;
    }
    resume(attempt);
  }

  private void resume(final Attempt attempt) {
    attempt.resumeAt(Long.MAX_VALUE);
    actions.add(
        new RequestAction.Resume(
            attempt.number(), attempt.endpoint(), attempt.assembler().nextSequence()));
  }

  private void resumeAnswered(final Attempt attempt, final ResumeAnswer answer, final long nowMs) {
    switch (answer) {
      case RESUMED -> attempt.markAccepted();
      case NEVER_SEEN -> {
        attempt.settle();
        lastDetail = "the endpoint has not seen the request";
        if (!anyLive()) {
          tryNext(nowMs);
        }
      }
      default -> failAttempt(attempt, "the endpoint has lost the answer", nowMs);
    }
  }

  private void cancel(final Attempt attempt, final long nowMs) {
    actions.add(new RequestAction.Cancel(attempt.number(), attempt.endpoint()));
    attempt.startCancelling(nowMs + CANCEL_TIMEOUT_MS);
  }

  private void cancelAnswered(final Attempt attempt, final boolean notStarted, final long nowMs) {
    if (attempt.state() != Attempt.State.CANCELLING) {
      return;
    }
    attempt.settle();
    mayHaveRun |= !notStarted;
    if (!anyLive()) {
      finishWithoutAnswer();
    }
  }

  private void callerDisconnected() {
    for (final Attempt attempt : attempts.values()) {
      if (attempt.isLive()) {
        actions.add(new RequestAction.Cancel(attempt.number(), attempt.endpoint()));
      }
    }
    finish(new RequestOutcome.Unknown("the caller has gone away"));
  }

  private void tick(final long nowMs) {
    if (mayHedge() && nowMs >= hedgeAtMs) {
      hedge(nowMs);
    }
    for (final Attempt attempt : List.copyOf(attempts.values())) {
      tick(attempt, nowMs);
    }
    if (!finished && !deadlineExceeded && nowMs >= limits.deadlineMs()) {
      deadlineExceeded = true;
      lastRefusal = RefusalKind.DEADLINE_UNREACHABLE;
      lastDetail = "the request's time is over";
      attempts.values().stream().filter(Attempt::isLive).forEach(it -> cancel(it, nowMs));
    }
  }

  private void tick(final Attempt attempt, final long nowMs) {
    if (finished || !attempt.isLive()) {
      return;
    }
    if (nowMs >= attempt.timeoutAtMs()) {
      failAttempt(attempt, "the endpoint does not answer", nowMs);
      return;
    }
    if (nowMs >= attempt.resumeAtMs()) {
      attempt.startResuming(nowMs + RESUME_TIMEOUT_MS);
      resume(attempt);
    }
  }

  private boolean mayHedge() {
    return limits.retryable()
        && !hedged
        && !deadlineExceeded
        && selected == null
        && attempts.values().stream().filter(Attempt::isLive).count() == 1;
  }

  private void hedge(final long nowMs) {
    hedged = true;
    if (attempts.size() >= limits.maximumAttempts()) {
      return;
    }
    final Optional<EndpointId> candidate = candidates.next(tried, movedTo);
    if (candidate.isEmpty() || !hedgeBudget.tryWithdraw()) {
      return;
    }
    dispatch(candidate.get(), nowMs);
  }

  private void finishWithoutAnswer() {
    if (mayHaveRun) {
      finish(new RequestOutcome.Unknown(lastDetail));
      return;
    }
    finish(new RequestOutcome.NotRun(lastRefusal, retryAfterMs, lastDetail));
  }

  private void finish(final RequestOutcome outcome) {
    finished = true;
    actions.add(new RequestAction.Finish(outcome));
  }
}
