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
 * Brings one request from its first attempt to an outcome. Events go in, actions come out; the
 * machine itself does no I/O and knows no clock.
 *
 * <p>The outcome is {@code NotRun} only if every attempt is proven not to have run: it was never
 * sent, was refused, or its sidecar has promised never to start it.
 */
public final class RequestMachine {

  private static final long RESUME_TIMEOUT_MS = 3_000;
  private static final long RESUME_INTERVAL_MS = 200;
  private static final long CANCEL_TIMEOUT_MS = 500;
  private static final long MISSING_PART_TIMEOUT_MS = 300;

  /** How many times the expected time to the first token may pass before another is asked. */
  private static final long HEDGE_FACTOR = 2;

  private final Map<Integer, Attempt> attempts = new TreeMap<>();
  private final Set<EndpointId> tried = new HashSet<>();
  private final List<RequestAction> actions = new ArrayList<>();
  private final StringBuilder delivered = new StringBuilder();
  private final List<AnswerPart> held = new ArrayList<>();
  private final RequestLimits limits;
  private final CandidateSource candidates;
  private final ExtraAttemptBudget retryBudget;
  private final ExtraAttemptBudget hedgeBudget;
  private int deliveredTokens;
  private Attempt leader;
  private boolean unproven;
  private boolean hedged;
  private boolean overdue;
  private boolean finished;
  private String lastDetail = "no endpoint is available";
  private RefusalKind lastRefusal = RefusalKind.NO_ENDPOINT;
  private long retryAfterMs;
  private EndpointId movedTo;
  private EndpointId cacheAt;
  private long hedgeAtMs;

  /**
   * Creates the machine of one request.
   *
   * @param limits the request's limits
   * @param candidates proposes endpoints
   * @param retryBudget pays for attempts after failures
   * @param hedgeBudget pays for second attempts that run beside a slow first one
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
   * Starts the request.
   *
   * @param nowMs the current time
   * @return what to do
   */
  public List<RequestAction> start(final long nowMs) {
    retryBudget.deposit();
    hedgeBudget.deposit();
    tryNext(nowMs);
    return takeActions();
  }

  /**
   * Takes over a request whose caller has lost its router.
   *
   * @param number the attempt that was running
   * @param endpoint where it was running
   * @param nextSequence the first part that the caller does not have
   * @param nowMs the current time
   * @return what to do
   */
  public List<RequestAction> takeOver(
      final int number, final EndpointId endpoint, final int nextSequence, final long nowMs) {
    final Attempt attempt = new Attempt(number, endpoint, nextSequence);
    attempts.put(number, attempt);
    unproven = true;
    attempt.startResuming(nowMs + RESUME_TIMEOUT_MS);
    resume(attempt);
    return takeActions();
  }

  /**
   * Takes an event.
   *
   * @param event the event
   * @param nowMs the current time
   * @return what to do
   */
  public List<RequestAction> on(final RequestEvent event, final long nowMs) {
    if (!finished) {
      handle(event, nowMs);
    }
    return takeActions();
  }

  /**
   * Tells whether the request has an outcome.
   *
   * @return true after a {@link RequestAction.Finish}
   */
  public boolean isFinished() {
    return finished;
  }

  /**
   * Returns when the machine wants a {@link RequestEvent.Tick}.
   *
   * @return the point in time, in milliseconds
   */
  public long nextTickMs() {
    long next = overdue ? Long.MAX_VALUE : limits.deadlineMs();
    if (mayHedge()) {
      next = Math.min(next, hedgeAtMs);
    }
    for (final Attempt attempt : attempts.values()) {
      next = Math.min(next, Math.min(attempt.giveUpAtMs(), attempt.resumeAtMs()));
    }
    return next;
  }

  private List<RequestAction> takeActions() {
    final List<RequestAction> taken = List.copyOf(actions);
    actions.clear();
    return taken;
  }

  private void handle(final RequestEvent event, final long nowMs) {
    switch (event) {
      case RequestEvent.Accepted accepted ->
          live(accepted.attempt())
              .ifPresent(attempt -> accepted(attempt, accepted.firstTokenInMs(), nowMs));
      case RequestEvent.Refused refused ->
          live(refused.attempt()).ifPresent(attempt -> refused(attempt, refused, nowMs));
      case RequestEvent.PartArrived arrived ->
          live(arrived.attempt()).ifPresent(attempt -> partArrived(attempt, arrived, nowMs));
      case RequestEvent.Ended ended ->
          live(ended.attempt()).ifPresent(attempt -> ended(attempt, ended.end(), nowMs));
      case RequestEvent.ConnectionLost lost ->
          live(lost.attempt()).ifPresent(attempt -> connectionLost(attempt, nowMs));
      case RequestEvent.ResumeAnswered answered ->
          live(answered.attempt())
              .ifPresent(attempt -> resumeAnswered(attempt, answered.answer(), nowMs));
      case RequestEvent.CancelAnswered answered ->
          live(answered.attempt())
              .ifPresent(attempt -> cancelAnswered(attempt, answered.notStarted(), nowMs));
      case RequestEvent.CallerDisconnected gone -> callerGone();
      case RequestEvent.Tick tick -> tick(nowMs);
    }
  }

  private void accepted(final Attempt attempt, final long firstTokenInMs, final long nowMs) {
    attempt.accept();
    if (hedgeAtMs < Long.MAX_VALUE) {
      hedgeAtMs = Math.max(hedgeAtMs, nowMs + HEDGE_FACTOR * firstTokenInMs);
    }
  }

  private Optional<Attempt> live(final int number) {
    return Optional.ofNullable(attempts.get(number)).filter(Attempt::isLive);
  }

  private boolean anyLive() {
    return attempts.values().stream().anyMatch(Attempt::isLive);
  }

  private void refused(
      final Attempt attempt, final RequestEvent.Refused refused, final long nowMs) {
    if (refused.kind() == RefusalKind.WRONG_INCARNATION) {
      giveUp(attempt, "the sidecar was restarted", nowMs);
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
    if (overdue || nowMs >= limits.deadlineMs() || attempts.size() >= limits.maximumAttempts()) {
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
            delivered.toString(),
            deliveredTokens));
  }

  private void partArrived(
      final Attempt attempt, final RequestEvent.PartArrived arrived, final long nowMs) {
    attempt.accept();
    if (!lead(attempt, nowMs)) {
      return;
    }
    int sequence = attempt.assembler().nextSequence();
    for (final AnswerPart part : attempt.assembler().accept(arrived.sequence(), arrived.part())) {
      deliver(attempt, sequence, part);
      sequence++;
    }
    finishIfWhole(attempt);
  }

  private void deliver(final Attempt attempt, final int sequence, final AnswerPart part) {
    if (!limits.continuable()) {
      held.add(part);
      return;
    }
    delivered.append(part.payload().toStringUtf8());
    deliveredTokens += part.tokens();
    actions.add(new RequestAction.Emit(part, attempt.endpoint(), attempt.number(), sequence));
  }

  /** Makes an attempt the one whose answer is passed on, if no other is. */
  private boolean lead(final Attempt attempt, final long nowMs) {
    if (leader != null) {
      return leader == attempt;
    }
    leader = attempt;
    for (final Attempt other : attempts.values()) {
      if (other != attempt && other.isLive()) {
        cancel(other, nowMs);
        other.settle();
      }
    }
    return true;
  }

  private void ended(final Attempt attempt, final AttemptEnd end, final long nowMs) {
    switch (end) {
      case AttemptEnd.Ran ran -> {
        if (!lead(attempt, nowMs)) {
          attempt.settle();
          return;
        }
        attempt.accept();
        attempt.endWith(ran);
        attempt.resumeAt(nowMs + MISSING_PART_TIMEOUT_MS);
        finishIfWhole(attempt);
      }
      case AttemptEnd.Broken broken -> giveUp(attempt, broken.detail(), nowMs);
      case AttemptEnd.Unknown unknown -> giveUp(attempt, unknown.detail(), nowMs);
    }
  }

  private void finishIfWhole(final Attempt attempt) {
    if (!attempt.isWhole()) {
      return;
    }
    int sequence = 0;
    for (final AnswerPart part : held) {
      actions.add(new RequestAction.Emit(part, attempt.endpoint(), attempt.number(), sequence));
      sequence++;
    }
    finish(new RequestOutcome.Ran(attempt.end().summary(), attempt.endpoint()));
  }

  /** Ends an attempt that may have run without having delivered a whole answer. */
  private void giveUp(final Attempt attempt, final String detail, final long nowMs) {
    attempt.settle();
    unproven = true;
    lastDetail = detail;
    if (leader == attempt) {
      leader = null;
      held.clear();
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
    final boolean again = attempt.state() == Attempt.State.RESUMING;
    attempt.startResuming(nowMs + RESUME_TIMEOUT_MS);
    if (again) {
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
      case RESUMED -> attempt.accept();
      case NEVER_SEEN -> {
        attempt.settle();
        lastDetail = "the endpoint has not seen the request";
        if (!anyLive()) {
          tryNext(nowMs);
        }
      }
      default -> giveUp(attempt, "the endpoint has lost the answer", nowMs);
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
    unproven |= !notStarted;
    if (!anyLive()) {
      finishWithoutAnswer();
    }
  }

  private void callerGone() {
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
    if (!finished && !overdue && nowMs >= limits.deadlineMs()) {
      overdue = true;
      lastRefusal = RefusalKind.DEADLINE_UNREACHABLE;
      lastDetail = "the request's time is over";
      attempts.values().stream().filter(Attempt::isLive).forEach(it -> cancel(it, nowMs));
    }
  }

  private void tick(final Attempt attempt, final long nowMs) {
    if (finished || !attempt.isLive()) {
      return;
    }
    if (nowMs >= attempt.giveUpAtMs()) {
      giveUp(attempt, "the endpoint does not answer", nowMs);
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
        && !overdue
        && leader == null
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
    if (unproven) {
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
