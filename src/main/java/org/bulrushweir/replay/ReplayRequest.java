package org.bulrushweir.replay;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bulrushweir.admission.AdmissionDecision;
import org.bulrushweir.api.AttemptKey;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.RequestId;
import org.bulrushweir.declaration.WorkClass;
import org.bulrushweir.delivery.AnswerPart;
import org.bulrushweir.delivery.AnswerSummary;
import org.bulrushweir.delivery.AttemptEnd;
import org.bulrushweir.delivery.CandidateSource;
import org.bulrushweir.delivery.RefusalKind;
import org.bulrushweir.delivery.RequestAction;
import org.bulrushweir.delivery.RequestEvent;
import org.bulrushweir.delivery.RequestLimits;
import org.bulrushweir.delivery.RequestMachine;
import org.bulrushweir.delivery.RequestOutcome;
import org.bulrushweir.delivery.ResumeAnswer;
import org.bulrushweir.membership.AgedReport;
import org.bulrushweir.trace.TraceRecord;

/** Brings one request of a trace through the real machine. */
final class ReplayRequest {

  /** How many endpoints may be asked. */
  private static final int MAXIMUM_ATTEMPTS = 9;

  /** How long a router takes to notice that an endpoint is gone, in milliseconds. */
  private static final long SILENCE_MS = 1_500;

  /** The part that stands for all others; the replay does not carry text. */
  private static final ByteString NO_TEXT = ByteString.EMPTY;

  /** Where attempts were sent. */
  private final Map<Integer, EndpointId> places = new HashMap<>();

  /** How many tokens were delivered before each attempt. */
  private final Map<Integer, Integer> continued = new HashMap<>();

  /** The router. */
  private final ReplayRouter router;

  /** The request. */
  private final TraceRecord.ChatRequested chat;

  /** Its class of work. */
  private final WorkClass workClass;

  /** Where the chat's last answer came from, null if unknown. */
  private final EndpointId hint;

  /** The request's machine. */
  private final RequestMachine machine;

  /** When the request came, in milliseconds. */
  private final long startMs;

  /** How many tokens of the prompt could have been cached when the request came. */
  private final int cacheableTokens;

  /** The request's id. */
  private final RequestId id;

  /** How long the first token took, in milliseconds, negative while there is none. */
  private long firstTokenMs = -1;

  /**
   * Creates a request.
   *
   * @param router the router
   * @param chat the request
   * @param workClass its class of work
   * @param hint where the chat's last answer came from, null if unknown
   * @param candidates proposes endpoints
   */
  ReplayRequest(
      final ReplayRouter router,
      final TraceRecord.ChatRequested chat,
      final WorkClass workClass,
      final EndpointId hint,
      final CandidateSource candidates) {
    this.router = router;
    this.chat = chat;
    this.workClass = workClass;
    this.hint = hint;
    this.startMs = router.nowMs();
    this.cacheableTokens = router.replay().cacheableTokens(chat);
    this.id = router.replay().nextRequestId();
    final long delayMs =
        router.replay().policy().hedged()
            ? router.hedgeDelay().delayMs(workClass.name())
            : Long.MAX_VALUE;
    final RequestLimits limits =
        new RequestLimits(
            true,
            true,
            startMs + workClass.deadlineMs(),
            startMs + workClass.firstTokenMs(),
            delayMs == Long.MAX_VALUE ? Long.MAX_VALUE : startMs + delayMs,
            MAXIMUM_ATTEMPTS);
    this.machine =
        new RequestMachine(limits, candidates, router.retryBudget(), router.hedgeBudget());
  }

  void start() {
    carryOut(machine.start(router.nowMs()));
  }

  private void feed(final RequestEvent event) {
    carryOut(machine.on(event, router.nowMs()));
  }

  private void carryOut(final List<RequestAction> actions) {
    for (final RequestAction action : actions) {
      switch (action) {
        case RequestAction.Dispatch dispatch -> dispatch(dispatch);
        case RequestAction.Resume resume -> resume(resume.attempt());
        case RequestAction.Cancel cancel -> cancel(cancel.attempt());
        case RequestAction.Emit emit -> emitted();
        case RequestAction.Finish finish -> finished(finish.outcome());
      }
    }
    final long tickMs = machine.nextTickMs();
    if (!machine.isFinished() && tickMs < Long.MAX_VALUE) {
      router
          .replay()
          .queue()
          .schedule(tickMs - router.nowMs(), () -> feed(new RequestEvent.Tick()));
    }
  }

  private AttemptKey key(final int attempt) {
    return new AttemptKey(id, attempt);
  }

  private void dispatch(final RequestAction.Dispatch action) {
    places.put(action.attempt(), action.endpoint());
    continued.put(action.attempt(), action.continuationTokens());
    final ReplayEndpoint endpoint = router.replay().endpoint(action.endpoint());
    final List<AgedReport> reports = router.reportsFor(action.endpoint());
    final ReplayDispatch message =
        new ReplayDispatch(
            key(action.attempt()),
            chat,
            workClass,
            action.continuationTokens(),
            action.endpoint().equals(hint),
            action.cacheAt(),
            action.firstTokenMs(),
            reports,
            this);
    router
        .replay()
        .transmit(
            () -> {
              if (endpoint.isAlive()) {
                endpoint.dispatch(message);
              } else {
                unreachable(action.attempt(), action.endpoint());
              }
            });
  }

  private void unreachable(final int attempt, final EndpointId endpoint) {
    router.contacts().recordFailure(endpoint, router.nowMs());
    feed(
        new RequestEvent.Refused(
            attempt, RefusalKind.UNREACHABLE, 0, null, 0, "the endpoint is gone"));
  }

  private void resume(final int attempt) {
    router
        .replay()
        .transmit(() -> feed(new RequestEvent.ResumeAnswered(attempt, ResumeAnswer.LOST)));
  }

  private void cancel(final int attempt) {
    final ReplayEndpoint endpoint = router.replay().endpoint(places.get(attempt));
    router
        .replay()
        .transmit(
            () -> {
              final boolean notStarted = endpoint.cancel(key(attempt));
              router
                  .replay()
                  .transmit(() -> feed(new RequestEvent.CancelAnswered(attempt, notStarted)));
            });
  }

  /**
   * Hears that an attempt was accepted.
   *
   * @param attempt the attempt
   * @param firstTokenInMs when the first token is expected, in milliseconds
   * @param report the endpoint's report
   */
  void accepted(final int attempt, final long firstTokenInMs, final AgedReport report) {
    router
        .replay()
        .transmit(
            () -> {
              router.learn(report);
              router.contacts().recordSuccess(places.get(attempt));
              feed(new RequestEvent.Accepted(attempt, firstTokenInMs));
            });
  }

  /**
   * Hears that an attempt was refused.
   *
   * @param attempt the attempt
   * @param refusal why
   * @param report the endpoint's report
   */
  void refused(
      final int attempt, final AdmissionDecision.Refused refusal, final AgedReport report) {
    router.replay().result().countRefusal(refusal.kind());
    router
        .replay()
        .transmit(
            () -> {
              router.learn(report);
              feed(
                  new RequestEvent.Refused(
                      attempt,
                      refusal.kind(),
                      0,
                      refusal.movedTo(),
                      refusal.cachedTokens(),
                      refusal.kind().name()));
            });
  }

  /**
   * Hears of a part of an answer.
   *
   * @param attempt the attempt
   * @param sequence the part's sequence number
   * @param tokens how many tokens it has
   */
  void part(final int attempt, final int sequence, final int tokens) {
    router
        .replay()
        .transmit(
            () ->
                feed(
                    new RequestEvent.PartArrived(
                        attempt, sequence, new AnswerPart(NO_TEXT, tokens))));
  }

  /**
   * Hears of the end of an answer.
   *
   * @param attempt the attempt
   * @param parts how many parts the answer has
   * @param summary the answer's summary
   * @param report the endpoint's report
   */
  void ended(
      final int attempt, final int parts, final AnswerSummary summary, final AgedReport report) {
    router
        .replay()
        .transmit(
            () -> {
              router.learn(report);
              feed(new RequestEvent.Ended(attempt, new AttemptEnd.Ran(parts, summary)));
            });
  }

  /**
   * Hears, after a while, that an endpoint has died with an attempt.
   *
   * @param attempt the attempt
   */
  void endpointDied(final int attempt) {
    router
        .replay()
        .queue()
        .schedule(SILENCE_MS, () -> feed(new RequestEvent.ConnectionLost(attempt)));
  }

  private void emitted() {
    if (firstTokenMs >= 0) {
      return;
    }
    firstTokenMs = router.nowMs() - startMs;
    router.hedgeDelay().record(workClass.name(), firstTokenMs);
    router.replay().result().countFirstToken(workClass.name(), chat.organisation(), firstTokenMs);
  }

  private void finished(final RequestOutcome outcome) {
    final ReplayResult result = router.replay().result();
    final long elapsedMs = router.nowMs() - startMs;
    switch (outcome) {
      case RequestOutcome.Ran ran -> {
        final boolean late =
            firstTokenMs > workClass.firstTokenMs() || elapsedMs > workClass.deadlineMs();
        result.countRan(workClass.name(), elapsedMs, late);
        result.countPrompt(
            new PromptSample(
                chat.timeMs(),
                chat.chatHash(),
                chat.promptTokens(),
                Math.min(chat.promptTokens(), ran.summary().cachedTokens()),
                cacheableTokens));
        router.replay().answered(chat, ran.endpoint());
        router.replay().endpoint(ran.endpoint()).wasUseful(attemptAt(ran.endpoint()), late);
        tellHome(ran.endpoint());
      }
      case RequestOutcome.NotRun notRun -> result.countNotRun(elapsedMs);
      case RequestOutcome.Unknown unknown -> result.countUnknown();
    }
  }

  private AttemptKey attemptAt(final EndpointId endpoint) {
    int last = 0;
    for (final Map.Entry<Integer, EndpointId> place : places.entrySet()) {
      if (place.getValue().equals(endpoint)) {
        last = Math.max(last, place.getKey());
      }
    }
    return key(last);
  }

  private void tellHome(final EndpointId endpoint) {
    if (!router.replay().policy().enforced()) {
      return;
    }
    final Replay replay = router.replay();
    router
        .pool()
        .ringOwner(chat.chatHash())
        .filter(home -> !home.equals(endpoint))
        .map(replay::endpoint)
        .ifPresent(home -> replay.transmit(() -> home.moved(chat.chatHash(), endpoint)));
  }

  TraceRecord.ChatRequested chat() {
    return chat;
  }
}
