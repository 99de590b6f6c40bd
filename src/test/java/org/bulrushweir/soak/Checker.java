package org.bulrushweir.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Checks what callers and endpoints see against the promises. */
final class Checker {

  /** The name under which impairments of the store are noted. */
  static final String STORE = "store";

  /** The name of the process of callers, endpoints and store. */
  static final String SOAK = "soak";

  /** How long a machine must have been unimpaired for bounds to hold, in milliseconds. */
  private static final long CONTACT_MS = 3_000;

  /** How long an endpoint that leaves may get new requests, in milliseconds. */
  private static final long DRAIN_MS = 2_000;

  /** How much later than an impairment its consequences may show, in milliseconds. */
  private static final long AFTERMATH_MS = 1_000;

  private static final Set<Integer> REFUSALS = Set.of(408, 421, 429, 503);

  private final List<Breach> breaches = new ArrayList<>();
  private final Map<CallerOutcome.End, Integer> ends = new EnumMap<>(CallerOutcome.End.class);
  private final Map<Integer, Integer> statuses = new TreeMap<>();
  private final History history;
  private final Impairments impairments;
  private final VersionChecker versions;
  private final SoakClock clock;
  private final List<CallerRequest> refused = new ArrayList<>();

  /**
   * Creates a checker.
   *
   * @param history what was sent and run
   * @param configurations what the operator has written
   * @param impairments what is impaired when
   * @param clock the clock
   */
  Checker(
      final History history,
      final Configurations configurations,
      final Impairments impairments,
      final SoakClock clock) {
    this.history = history;
    this.impairments = impairments;
    this.clock = clock;
    this.versions = new VersionChecker(configurations, this);
  }

  /** Notes a breach. */
  synchronized void breach(final Promise promise, final Object detail) {
    breaches.add(new Breach(promise, clock.nowMs(), detail.toString()));
  }

  synchronized List<Breach> breaches() {
    return List.copyOf(breaches);
  }

  /** Returns how many answers ended how, and with what status. */
  synchronized String counts() {
    return "ends " + ends + ", statuses " + statuses;
  }

  synchronized int served() {
    return statuses.getOrDefault(200, 0);
  }

  long nowMs() {
    return clock.nowMs();
  }

  /** Tells whether time bounds hold for a gateway from a time on until now. */
  boolean isInTouch(final String gateway, final long sinceMs) {
    final long fromMs = sinceMs - CONTACT_MS;
    return !impairments.during(gateway, fromMs, clock.nowMs())
        && !impairments.during(stopOf(gateway), fromMs, clock.nowMs())
        && !isStarved(gateway, fromMs, clock.nowMs())
        && !impairments.during(STORE, fromMs, clock.nowMs());
  }

  private boolean isStarved(final String gateway, final long fromMs, final long toMs) {
    return impairments.during(starving(gateway), fromMs, toMs)
        || impairments.during(starving(SOAK), fromMs, toMs);
  }

  /** Returns the name under which the want of a processor is noted, of a gateway or the soak. */
  static String starving(final String name) {
    return name + " starves";
  }

  /** Returns the name under which planned stops of a gateway are noted. */
  static String stopOf(final String gateway) {
    return gateway + " stops";
  }

  /**
   * Checks a run that begins.
   *
   * @param run the run
   * @param service the service of its endpoint
   * @param tenant the tenant that it runs for
   * @param leavingSinceMs when the store confirmed that the endpoint leaves
   */
  void checkRun(
      final EndpointRun run, final String service, final String tenant, final long leavingSinceMs) {
    final CallerRequest request = run.request();
    final List<EndpointRun> runs = history.started(run);
    if (!request.traffic().isIdempotent() && runs.size() > 1) {
      breach(Promise.RUNS_ONCE, request + " runs as " + runs);
    }
    if (run.startedAtMs() - leavingSinceMs > DRAIN_MS
        && isInTouch(request.gateway(), leavingSinceMs)) {
      breach(Promise.DRAINED, run + " of " + request + ", which leaves since " + leavingSinceMs);
    }
    versions.checkRun(request, service, tenant);
  }

  /**
   * Checks what a caller got.
   *
   * @param request the request
   * @param outcome what came
   */
  void checkOutcome(final CallerRequest request, final CallerOutcome outcome) {
    synchronized (this) {
      ends.merge(outcome.end(), 1, Integer::sum);
      statuses.merge(outcome.status(), 1, Integer::sum);
    }
    switch (outcome.end()) {
      case COMPLETE -> checkAnswer(request, outcome);
      case CLOSED -> checkClosed(request, outcome);
      case SILENT -> checkSilence(request, outcome);
      case MALFORMED -> breach(Promise.OWN_ANSWER, request + " got no answer: " + outcome.body());
      case LEFT -> checkEvents(request, outcome, false);
      default -> throw new IllegalArgumentException(outcome.toString());
    }
  }

  private void checkAnswer(final CallerRequest request, final CallerOutcome outcome) {
    if (!outcome.seal().isEmpty()) {
      checkSealed(request, outcome);
      return;
    }
    final int status = outcome.status();
    if (status < 300) {
      breach(Promise.OWN_ANSWER, request + " got " + status + " without a seal");
    } else if (REFUSALS.contains(status)) {
      checkRefusal(request);
    } else if (status < 500) {
      versions.checkDenial(request, status);
    }
  }

  private void checkRefusal(final CallerRequest request) {
    if (request.traffic().isIdempotent()) {
      return;
    }
    synchronized (this) {
      refused.add(request);
    }
    checkNotRun(request);
  }

  private void checkNotRun(final CallerRequest request) {
    final List<EndpointRun> runs = history.runs(request.id());
    if (!runs.isEmpty()) {
      breach(Promise.TRUE_REFUSAL, request + " was refused and runs as " + runs);
    }
  }

  /** Checks at the end that what was refused has not run later. */
  void checkRefusedLater() {
    final List<CallerRequest> all;
    synchronized (this) {
      all = List.copyOf(refused);
    }
    all.forEach(this::checkNotRun);
  }

  private void checkSealed(final CallerRequest request, final CallerOutcome outcome) {
    final Answer answer = history.answer(outcome.seal());
    if (answer == null
        || !answer.requestId().equals(request.id())
        || answer.status() != outcome.status()) {
      breach(
          Promise.OWN_ANSWER,
          request + " got " + outcome.status() + " " + outcome.seal() + " of " + answer);
      return;
    }
    if (REFUSALS.contains(outcome.status())) {
      checkRefusal(request);
    }
    if (outcome.status() < 300 && request.traffic().isStream()) {
      checkEvents(request, outcome, true);
    } else if (outcome.status() < 300 && !answer.body().equals(outcome.body())) {
      breach(
          Promise.OWN_ANSWER,
          request + " got another body than " + outcome.seal() + ": " + start(outcome.body()));
    }
  }

  private static String start(final String text) {
    return text.length() + " characters: " + text.substring(0, Math.min(text.length(), 200));
  }

  private void checkEvents(
      final CallerRequest request, final CallerOutcome outcome, final boolean complete) {
    if (!request.traffic().isStream() || outcome.status() != 200) {
      return;
    }
    final String found = new EventCheck(request, history.runs(request.id())).find(outcome.body());
    if (!found.isEmpty()) {
      breach(Promise.STREAM_ORDER, request + ": " + found);
    } else if (complete && !EventCheck.isWhole(request, outcome.body())) {
      breach(Promise.STREAM_ORDER, request + " ends early: " + start(outcome.body()));
    }
  }

  private void checkClosed(final CallerRequest request, final CallerOutcome outcome) {
    checkEvents(request, outcome, false);
    if (outcome.endedAtMs() - request.sentAtMs() >= Configurations.TIMEOUT_MS) {
      return;
    }
    final String lost =
        history.runs(request.id()).stream()
            .filter(EndpointRun::isAnswered)
            .filter(run -> !isDisturbed(run.endpoint(), request, outcome))
            .map(EndpointRun::toString)
            .collect(Collectors.joining(", "));
    if (!lost.isEmpty() && !isDisturbed(request.gateway(), request, outcome)) {
      breach(
          Promise.NOT_LOST,
          request + " closed at " + outcome.endedAtMs() + " ms though it was answered: " + lost);
    }
  }

  private boolean isDisturbed(
      final String name, final CallerRequest request, final CallerOutcome outcome) {
    return impairments.during(
        name, request.sentAtMs() - AFTERMATH_MS, outcome.endedAtMs() + AFTERMATH_MS);
  }

  private void checkSilence(final CallerRequest request, final CallerOutcome outcome) {
    checkEvents(request, outcome, false);
    final long fromMs = request.sentAtMs() - CONTACT_MS;
    if (!impairments.during(request.gateway(), fromMs, outcome.endedAtMs())
        && !isStarved(request.gateway(), fromMs, outcome.endedAtMs())) {
      breach(Promise.ANSWERED_IN_TIME, request + " has no answer at " + outcome.endedAtMs());
    }
  }
}
