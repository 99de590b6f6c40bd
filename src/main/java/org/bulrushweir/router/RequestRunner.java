package org.bulrushweir.router;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.AttemptKey;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.delivery.RefusalKind;
import org.bulrushweir.delivery.RequestAction;
import org.bulrushweir.delivery.RequestEvent;
import org.bulrushweir.delivery.RequestMachine;
import org.bulrushweir.delivery.RequestOutcome;
import org.bulrushweir.membership.EndpointInfo;
import org.bulrushweir.node.FleetService;
import org.bulrushweir.timeline.EventKind;
import org.bulrushweir.timeline.EventLog;
import org.bulrushweir.timeline.EventSubject;
import org.bulrushweir.wire.generated.Dispatch;

/**
 * Runs the event loop of one request: feeds events to its state machine and executes the resulting
 * actions. Blocks the calling thread until the request has an outcome.
 */
final class RequestRunner {

  /** The maximum number of endpoint reports that are sent with an attempt. */
  private static final int MAXIMUM_REPORTS = 16;

  /**
   * Time that an attempt continues after its caller has disconnected, so that the caller can resume
   * it, in milliseconds.
   */
  private static final long CALLER_DISCONNECTED_GRACE_MS = 10_000;

  private final BlockingQueue<RequestEvent> inbox = new LinkedBlockingQueue<>();
  private final Map<Integer, EndpointId> endpointsByAttempt = new HashMap<>();
  private final RequestSpec spec;
  private final RequestMachine machine;
  private final EndpointLinkService links;
  private final FleetService fleet;
  private final Clock clock;
  private final AnswerSink sink;
  private final EventLog eventLog;
  private RequestOutcome outcome;

  /**
   * The incarnation of the sidecar in a resumed position; zero unless the request is taken over.
   */
  private long resumedIncarnation;

  private boolean callerDisconnected;

  /**
   * Creates a runner.
   *
   * @param spec the request
   * @param machine the state machine of the request
   * @param links the links to endpoints
   * @param fleet the view that this process has of the fleet
   * @param clock the process's clock
   * @param sink receives the answer
   * @param eventLog the event log of this process
   */
  RequestRunner(
      final RequestSpec spec,
      final RequestMachine machine,
      final EndpointLinkService links,
      final FleetService fleet,
      final Clock clock,
      final AnswerSink sink,
      final EventLog eventLog) {
    this.spec = spec;
    this.machine = machine;
    this.links = links;
    this.fleet = fleet;
    this.clock = clock;
    this.sink = sink;
    this.eventLog = eventLog;
  }

  /**
   * Runs the request.
   *
   * @return the outcome
   * @throws InterruptedException if the thread is interrupted
   */
  RequestOutcome run() throws InterruptedException {
    execute(machine.start(clock.nowMs()));
    return awaitOutcome();
  }

  /**
   * Continues the answer of a request whose caller has lost the connection to its router.
   *
   * @param position the last part that the caller has received
   * @return the outcome
   * @throws InterruptedException if the thread is interrupted
   */
  RequestOutcome takeOver(final StreamPosition position) throws InterruptedException {
    resumedIncarnation = position.incarnation();
    execute(
        machine.takeOver(
            position.attempt(), position.endpoint(), position.sequence() + 1, clock.nowMs()));
    return awaitOutcome();
  }

  private RequestOutcome awaitOutcome() throws InterruptedException {
    try {
      runEventLoop();
    } finally {
      endpointsByAttempt.forEach(
          (attempt, endpoint) -> links.link(endpoint).unregister(key(attempt)));
    }
    return outcome;
  }

  private void runEventLoop() throws InterruptedException {
    while (outcome == null) {
      final long waitMs = Math.max(0, machine.nextTickMs() - clock.nowMs());
      final RequestEvent event = inbox.poll(waitMs, TimeUnit.MILLISECONDS);
      feed(event == null ? new RequestEvent.Tick() : event);
    }
  }

  private void feed(final RequestEvent event) {
    execute(machine.on(event, clock.nowMs()));
  }

  private void execute(final List<RequestAction> actions) {
    for (final RequestAction action : actions) {
      switch (action) {
        case RequestAction.Dispatch dispatch -> dispatch(dispatch);
        case RequestAction.Resume resume -> resume(resume);
        case RequestAction.Cancel cancel -> cancel(cancel);
        case RequestAction.Emit emit -> emit(emit);
        case RequestAction.Finish finish -> outcome = finish.outcome();
      }
    }
  }

  private void record(final EventKind kind, final int attempt, final EndpointId endpoint) {
    eventLog.add(kind, EventSubject.of(spec.id(), attempt, endpoint), "");
  }

  private AttemptKey key(final int attempt) {
    return new AttemptKey(spec.id(), attempt);
  }

  private void dispatch(final RequestAction.Dispatch action) {
    record(EventKind.ATTEMPT_SENT, action.attempt(), action.endpoint());
    endpointsByAttempt.put(action.attempt(), action.endpoint());
    final Optional<EndpointInfo> target = fleet.find(action.endpoint());
    if (target.isEmpty()) {
      inbox.add(
          new RequestEvent.Refused(
              action.attempt(), RefusalKind.UNREACHABLE, 0, null, 0, "the endpoint is gone"));
      return;
    }
    links
        .link(action.endpoint())
        .dispatch(target.get(), key(action.attempt()), message(action), inbox);
  }

  private Dispatch.Builder message(final RequestAction.Dispatch action) {
    return Dispatch.newBuilder()
        .setRequest(spec.id().value())
        .setAttempt(action.attempt())
        .setOrganisation(spec.organisation().value())
        .setService(spec.service().name().value())
        .setKind(spec.kind())
        .setWorkClass(spec.workClass().name())
        .setDeadlineMs((int) action.remainingMs())
        .setFirstTokenMs((int) action.firstTokenMs())
        .setChat(spec.chat())
        .setPromptTokens(spec.promptTokens())
        .setExpectedOutputTokens(spec.expectedOutputTokens())
        .setRepeatable(spec.retryable())
        .setIdempotencyKey(spec.idempotencyKey())
        .setModel(spec.model())
        .setMethod(spec.method())
        .setPath(spec.path())
        .setContentType(spec.contentType())
        .setBody(spec.body())
        .setContinuation(action.continuation())
        .setContinuationTokens(action.continuationTokens())
        .setCacheExpected(action.endpoint().equals(spec.affinity()))
        .setCacheAt(action.cacheAt() == null ? "" : action.cacheAt().value())
        .addAllReports(fleet.reportsFor(spec.service().name(), action.endpoint(), MAXIMUM_REPORTS));
  }

  private void resume(final RequestAction.Resume action) {
    record(EventKind.ATTEMPT_RESUMED, action.attempt(), action.endpoint());
    endpointsByAttempt.put(action.attempt(), action.endpoint());
    final Optional<EndpointInfo> target = fleet.find(action.endpoint());
    if (target.isEmpty()) {
      inbox.add(new RequestEvent.ConnectionLost(action.attempt()));
      return;
    }
    links
        .link(action.endpoint())
        .resume(
            target.get(),
            key(action.attempt()),
            action.nextSequence(),
            spec.organisation().value(),
            resumedIncarnation,
            inbox);
  }

  private void cancel(final RequestAction.Cancel action) {
    record(EventKind.ATTEMPT_CANCELLED, action.attempt(), action.endpoint());
    final long graceMs = callerDisconnected ? CALLER_DISCONNECTED_GRACE_MS : 0;
    fleet
        .find(action.endpoint())
        .ifPresent(
            target -> links.link(action.endpoint()).cancel(target, key(action.attempt()), graceMs));
  }

  private void emit(final RequestAction.Emit emit) {
    if (callerDisconnected) {
      return;
    }
    try {
      sink.accept(emit);
    } catch (IOException e) {
      callerDisconnected = true;
      feed(new RequestEvent.CallerDisconnected());
    }
  }
}
