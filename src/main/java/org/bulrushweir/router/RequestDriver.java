package org.bulrushweir.router;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.delivery.CandidateSource;
import org.bulrushweir.delivery.RequestLimits;
import org.bulrushweir.delivery.RequestMachine;
import org.bulrushweir.delivery.RequestOutcome;
import org.bulrushweir.delivery.ShareBudget;
import org.bulrushweir.node.DirectoryService;
import org.bulrushweir.platform.Vm;
import org.bulrushweir.platform.VmState;
import org.bulrushweir.routing.OrderedCandidates;
import org.bulrushweir.routing.RendezvousOrder;
import org.bulrushweir.wire.generated.Kind;

/** Runs requests: chooses candidates, sets limits, drives the machine. */
public final class RequestDriver {

  private static final int MAXIMUM_ATTEMPTS = 6;
  private static final double RETRY_SHARE = 0.1;
  private static final double HEDGE_SHARE = 0.05;
  private static final double BUDGET_CAPACITY = 10;

  private final ShareBudget retryBudget = new ShareBudget(RETRY_SHARE, BUDGET_CAPACITY);
  private final ShareBudget hedgeBudget = new ShareBudget(HEDGE_SHARE, BUDGET_CAPACITY);
  private final LinkService links;
  private final DirectoryService directory;
  private final Clock clock;
  private final Random random;

  /**
   * Creates the driver.
   *
   * @param links the links to endpoints
   * @param directory the list of endpoints
   * @param clock the clock
   * @param random spreads calls over endpoints
   */
  public RequestDriver(
      final LinkService links,
      final DirectoryService directory,
      final Clock clock,
      final Random random) {
    this.links = links;
    this.directory = directory;
    this.clock = clock;
    this.random = random;
  }

  /**
   * Returns the links to endpoints.
   *
   * @return the links
   */
  LinkService links() {
    return links;
  }

  /**
   * Runs a request.
   *
   * @param spec the request
   * @param sink takes the answer
   * @return the outcome
   * @throws InterruptedException if the thread is interrupted
   */
  RequestOutcome run(final RequestSpec spec, final AnswerSink sink) throws InterruptedException {
    return runner(spec, new OrderedCandidates(candidates(spec)), sink).run();
  }

  /**
   * Takes over a request whose caller has lost its router.
   *
   * @param spec the request
   * @param position where its answer goes on
   * @param sink takes the answer
   * @return the outcome
   * @throws InterruptedException if the thread is interrupted
   */
  RequestOutcome takeOver(
      final RequestSpec spec, final StreamPosition position, final AnswerSink sink)
      throws InterruptedException {
    return runner(spec, (tried, movedTo) -> Optional.empty(), sink).takeOver(position);
  }

  private RequestRunner runner(
      final RequestSpec spec, final CandidateSource candidates, final AnswerSink sink) {
    final long nowMs = clock.nowMs();
    final RequestLimits limits =
        new RequestLimits(
            spec.mayBeSentAgain(),
            spec.kind() == Kind.CHAT,
            nowMs + spec.deadlineMs(),
            nowMs + Math.min(spec.deadlineMs(), spec.workClass().firstTokenMs()),
            Long.MAX_VALUE,
            MAXIMUM_ATTEMPTS);
    final RequestMachine machine = new RequestMachine(limits, candidates, retryBudget, hedgeBudget);
    return new RequestRunner(spec, machine, links, directory, clock, sink);
  }

  private List<EndpointId> candidates(final RequestSpec spec) {
    final List<EndpointId> eligible =
        new ArrayList<>(
            directory.endpointsOf(spec.service().name()).stream()
                .filter(vm -> vm.state() == VmState.LIVE)
                .map(Vm::name)
                .map(EndpointId::new)
                .toList());
    if (spec.kind() == Kind.CALL) {
      Collections.shuffle(eligible, random);
      return eligible;
    }
    final List<EndpointId> ordered = RendezvousOrder.order(spec.chat(), eligible);
    if (spec.hint() != null && ordered.remove(spec.hint())) {
      ordered.addFirst(spec.hint());
    }
    return ordered;
  }
}
