package org.bulrushweir.router;

import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bulrushweir.api.Clock;
import org.bulrushweir.delivery.CandidateSource;
import org.bulrushweir.delivery.ExtraAttemptBudget;
import org.bulrushweir.delivery.HedgeDelay;
import org.bulrushweir.delivery.RequestLimits;
import org.bulrushweir.delivery.RequestMachine;
import org.bulrushweir.delivery.RequestOutcome;
import org.bulrushweir.metrics.FleetMetrics;
import org.bulrushweir.node.FleetService;
import org.bulrushweir.routing.CallCandidates;
import org.bulrushweir.routing.ChatCandidates;
import org.bulrushweir.routing.EndpointPool;
import org.bulrushweir.timeline.EventLog;
import org.bulrushweir.wire.generated.ChatMoved;
import org.bulrushweir.wire.generated.Envelope;
import org.bulrushweir.wire.generated.Kind;

/**
 * Runs requests: builds the source of candidate endpoints, the limits and the state machine of each
 * request, and reports to a chat's ring owner which endpoint has the chat's cache afterwards.
 */
public final class RequestDriver {

  /** The maximum number of attempts of a request. */
  private static final int MAXIMUM_ATTEMPTS = 9;

  /** The number of retries that each request adds to the retry budget. */
  private static final double RETRY_SHARE = 0.1;

  /** The number of hedge attempts that each request adds to the hedge budget. */
  private static final double HEDGE_SHARE = 0.05;

  /** The maximum number of attempts that each budget accumulates. */
  private static final double BUDGET_CAPACITY = 10;

  private final ExtraAttemptBudget retryBudget =
      new ExtraAttemptBudget(RETRY_SHARE, BUDGET_CAPACITY);
  private final ExtraAttemptBudget hedgeBudget =
      new ExtraAttemptBudget(HEDGE_SHARE, BUDGET_CAPACITY);
  private final HedgeDelay hedgeDelay = new HedgeDelay();
  private final EndpointLinkService links;
  private final FleetService fleet;
  private final Clock clock;
  private final RandomGenerator random;
  private final EventLog events;
  private final FleetMetrics metrics;

  /**
   * Creates the driver.
   *
   * @param links the links to endpoints
   * @param fleet the view that this process has of the fleet
   * @param clock the process's clock
   * @param random distributes calls over endpoints
   * @param events the event log of this process
   * @param metrics the metrics of this process
   */
  public RequestDriver(
      final EndpointLinkService links,
      final FleetService fleet,
      final Clock clock,
      final RandomGenerator random,
      final EventLog events,
      final FleetMetrics metrics) {
    this.links = links;
    this.fleet = fleet;
    this.clock = clock;
    this.random = random;
    this.events = events;
    this.metrics = metrics;
  }

  /**
   * Returns the links to endpoints.
   *
   * @return the links
   */
  EndpointLinkService links() {
    return links;
  }

  /**
   * Runs a request.
   *
   * @param spec the request
   * @param sink receives the answer
   * @return the outcome
   * @throws InterruptedException if the thread is interrupted
   */
  RequestOutcome run(final RequestSpec spec, final AnswerSink sink) throws InterruptedException {
    final RequestMeter meter = new RequestMeter(spec, sink, clock, events, metrics, hedgeDelay);
    meter.started();
    final RequestOutcome outcome = runner(spec, candidates(spec), meter).run();
    meter.finished(outcome);
    notifyRingOwner(spec, outcome);
    return outcome;
  }

  /**
   * Continues the answer of a request whose caller has lost the connection to its router.
   *
   * @param spec the request
   * @param position the last part that the caller has received
   * @param sink receives the answer
   * @return the outcome
   * @throws InterruptedException if the thread is interrupted
   */
  RequestOutcome takeOver(
      final RequestSpec spec, final StreamPosition position, final AnswerSink sink)
      throws InterruptedException {
    final RequestMeter meter = new RequestMeter(spec, sink, clock, events, metrics, hedgeDelay);
    meter.started();
    final RequestOutcome outcome =
        runner(spec, (tried, movedTo) -> Optional.empty(), meter).takeOver(position);
    meter.finished(outcome);
    return outcome;
  }

  private RequestRunner runner(
      final RequestSpec spec, final CandidateSource candidates, final AnswerSink sink) {
    final long nowMs = clock.nowMs();
    final RequestLimits limits =
        new RequestLimits(
            spec.mayBeRetried(),
            spec.kind() == Kind.CHAT,
            nowMs + spec.deadlineMs(),
            nowMs + Math.min(spec.deadlineMs(), spec.workClass().firstTokenMs()),
            hedgeAtMs(spec, nowMs),
            MAXIMUM_ATTEMPTS);
    final RequestMachine machine = new RequestMachine(limits, candidates, retryBudget, hedgeBudget);
    return new RequestRunner(spec, machine, links, fleet, clock, sink, events);
  }

  private long hedgeAtMs(final RequestSpec spec, final long nowMs) {
    if (spec.kind() != Kind.CHAT) {
      return Long.MAX_VALUE;
    }
    final long delayMs = hedgeDelay.delayMs(spec.workClass().name());
    return delayMs == Long.MAX_VALUE ? Long.MAX_VALUE : nowMs + delayMs;
  }

  private CandidateSource candidates(final RequestSpec spec) {
    final Supplier<EndpointPool> pool = () -> fleet.pool(spec.service().name());
    if (spec.kind() == Kind.CALL) {
      return new CallCandidates(pool, random);
    }
    return new ChatCandidates(spec.chat(), spec.affinity(), pool);
  }

  /**
   * Informs the sidecar of the endpoint that owns the chat on the hash ring, if another endpoint
   * now holds the chat's KV cache.
   */
  private void notifyRingOwner(final RequestSpec spec, final RequestOutcome outcome) {
    if (spec.kind() != Kind.CHAT || !(outcome instanceof RequestOutcome.Ran ran)) {
      return;
    }
    final ChatMoved message =
        ChatMoved.newBuilder().setChat(spec.chat()).setEndpoint(ran.endpoint().value()).build();
    fleet
        .pool(spec.service().name())
        .ringOwner(spec.chat())
        .filter(owner -> !owner.equals(ran.endpoint()))
        .flatMap(fleet::find)
        .ifPresent(
            owner ->
                links.link(owner.id()).send(owner, Envelope.newBuilder().setChatMoved(message)));
  }
}
