package org.bulrushweir.dispatch;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.balancing.ServiceRoom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the decisions at one gateway. */
class ServiceDispatcherTest {

  private static final long NOW_MS = 1_000_000;
  private static final long TARGET_MS = 250;
  private static final long LIMIT_MS = 1_200;
  private static final double WORK = 60;
  private static final int SLOTS = 2;
  private static final ServiceLoad FULL = new ServiceLoad(new ServiceRoom(1, SLOTS, 3), 3, 1, 0);
  private static final ServiceLoad FREE = new ServiceLoad(new ServiceRoom(1, SLOTS, 0), 0, 1, 0);
  private static final ServiceLoad ONE_TAKEN_OF_THREE =
      new ServiceLoad(new ServiceRoom(1, 3, 1), 1, 1, LIMIT_MS * 10);

  private final ServiceDispatcher dispatcher =
      new ServiceDispatcher(new DispatchPolicy(new DispatchSettings(true, 1.5), () -> 0));
  private long lastNumber;

  @BeforeEach
  void learnDrainRate() {
    dispatcher.recordCompletion(request("calm", 0), false, (long) WORK, NOW_MS - 10_000);
  }

  private DispatchRequest request(final String organisation, final int rank) {
    return request(organisation, rank, NOW_MS, LIMIT_MS);
  }

  private DispatchRequest request(
      final String organisation, final int rank, final long sinceMs, final long limitMs) {
    lastNumber++;
    return new DispatchRequest(
        lastNumber,
        rank,
        Optional.of(new OrganisationId(organisation)),
        NOW_MS,
        sinceMs,
        TARGET_MS,
        NOW_MS + limitMs,
        WORK);
  }

  private DispatchDecision offer(final DispatchRequest request) {
    return dispatcher.offer(request, FULL, NOW_MS);
  }

  private List<Long> drainOrder() {
    final List<Long> numbers = new ArrayList<>();
    Optional<WaitingRequest> next = dispatcher.next(FREE, NOW_MS);
    while (next.isPresent()) {
      numbers.add(next.get().request().number());
      next = dispatcher.next(FREE, NOW_MS);
    }
    return numbers;
  }

  /** Guards against stated token counts that break the decisions on the requests of others. */
  @Test
  void absurdWorkOfRequestsIsBounded() {
    for (final double work : List.of(-2e9, 1e19)) {
      offer(
          new DispatchRequest(
              ++lastNumber,
              0,
              Optional.of(new OrganisationId("absurd")),
              NOW_MS,
              NOW_MS,
              TARGET_MS,
              NOW_MS + LIMIT_MS,
              work));
    }
    final DispatchDecision decision = offer(request("calm", 0));
    assertFalse(decision instanceof DispatchDecision.Reject, () -> decision.toString());
  }

  /** Guards against an order by arrival alone. */
  @Test
  void ranksThenReturnedThenNewRequestsAreSent() {
    final DispatchRequest lessUrgent = request("calm", 5);
    final DispatchRequest fresh = request("calm", 1);
    final DispatchRequest returned = request("calm", 1, NOW_MS - TARGET_MS, LIMIT_MS);
    final DispatchRequest urgent = request("calm", 0);
    List.of(lessUrgent, fresh, returned, urgent).forEach(this::offer);
    assertEquals(
        List.of(urgent.number(), returned.number(), fresh.number(), lessUrgent.number()),
        drainOrder());
  }

  /** Guards against a returned prompt that gains by returning earlier than it was told. */
  @Test
  void promptGoesBeforeNewOnesOnlyIfItReturnsAfterTheDelay() {
    final RejectedPrompts prompts = new RejectedPrompts();
    prompts.record(Optional.empty(), 1, NOW_MS, 500, NOW_MS);
    prompts.record(Optional.empty(), 2, NOW_MS, 500, NOW_MS);
    assertAll(
        () -> assertEquals(NOW_MS + 499, prompts.sinceMs(Optional.empty(), 1, NOW_MS + 499)),
        () -> assertEquals(NOW_MS, prompts.sinceMs(Optional.empty(), 2, NOW_MS + 501)));
  }

  /** Guards against organisations that are served by the number of their requests. */
  @Test
  void organisationWithLittleWorkDoneGoesFirst() {
    final DispatchRequest first = request("busy", 0);
    final DispatchRequest second = request("busy", 0);
    final DispatchRequest calm = request("calm", 0);
    List.of(first, second, calm).forEach(this::offer);
    assertEquals(List.of(first.number(), calm.number(), second.number()), drainOrder());
  }

  /** Guards against requests that wait or are rejected while there is room. */
  @Test
  void nothingIsRejectedWhileLessThanHalfOfTheSlotsIsTaken() {
    assertInstanceOf(
        DispatchDecision.SendNow.class,
        dispatcher.offer(request("calm", 5), ONE_TAKEN_OF_THREE, NOW_MS));
  }

  /** Guards against prompts that wait for engines whose prefill takes longer than they may. */
  @Test
  void promptIsRejectedAtOnceIfTheBestEngineWouldMissItsDeadline() {
    final DispatchDecision.Reject rejection =
        assertInstanceOf(
            DispatchDecision.Reject.class,
            dispatcher.offer(request("calm", 5), FULL.withPrefill(LIMIT_MS * 2), NOW_MS));
    assertAll(
        () -> assertEquals(RejectionReason.PREFILL_BACKLOG, rejection.reason()),
        () -> assertTrue(rejection.retryAfterMs() > 200, "" + rejection.retryAfterMs()),
        () -> assertTrue(rejection.detail().contains("3 requests in flight"), rejection.detail()));
  }

  /** Guards against requests that are held although they can't be served in time. */
  @Test
  void requestIsRejectedAtOnceIfTooMuchIsAheadOfIt() {
    DispatchDecision decision = offer(request("calm", 5));
    int accepted = 0;
    while (decision instanceof DispatchDecision.Wait && accepted < 1_000) {
      accepted++;
      decision = offer(request("calm", 5));
    }
    final int waiting = accepted;
    final DispatchDecision.Reject rejection =
        assertInstanceOf(DispatchDecision.Reject.class, decision);
    // Two slots complete 33 requests a second; three quarters of 1.2 s are useful.
    assertAll(
        () -> assertEquals(RejectionReason.DEADLINE, rejection.reason()),
        () -> assertTrue(waiting >= 26 && waiting <= 36, waiting + " accepted"),
        () -> assertInstanceOf(DispatchDecision.Wait.class, offer(request("calm", 0))));
  }

  /** Guards against an urgent request that is rejected while a less urgent one is sent. */
  @Test
  void urgentRequestIsNotRejectedJustAfterLessUrgentOneWasSent() {
    dispatcher.offer(request("calm", 5), FREE, NOW_MS);
    final ServiceLoad backlog = FULL.withPrefill(LIMIT_MS * 2);
    assertInstanceOf(
        DispatchDecision.Wait.class, dispatcher.offer(request("calm", 0), backlog, NOW_MS));
  }

  /** Guards against less urgent requests that never give way, or wait for outdated reports. */
  @Test
  void lessUrgentRequestsGiveWayToThoseOfPeersForBoundedTime() {
    final ServiceLoad scarce = new ServiceLoad(new ServiceRoom(1, SLOTS, 2), 1, 2, 0);
    final NodeId peer = new NodeId("gateway-2");
    dispatcher.recordPeer(peer, new PeerDemand(List.of(1), Map.of()), NOW_MS);
    assertInstanceOf(
        DispatchDecision.Wait.class, dispatcher.offer(request("calm", 5), scarce, NOW_MS));
    final long laterMs = NOW_MS + LIMIT_MS / 4;
    dispatcher.recordPeer(peer, new PeerDemand(List.of(1), Map.of()), laterMs - 1);
    assertAll(
        () -> assertEquals(Optional.empty(), dispatcher.next(scarce, laterMs - 1)),
        () -> assertTrue(dispatcher.next(scarce, laterMs).isPresent(), "bounded"));
  }

  /** Guards against a queue without bound, and against urgent requests that find it full. */
  @Test
  void fullQueueRejectsTheLeastUrgentRequest() {
    final long longMs = 10_000_000;
    for (int count = 0; count < ServiceDispatcher.MAX_WAITING; count++) {
      assertInstanceOf(DispatchDecision.Wait.class, offer(request("calm", 5, NOW_MS, longMs)));
    }
    assertAll(
        () ->
            assertInstanceOf(
                DispatchDecision.Reject.class, offer(request("calm", 5, NOW_MS, longMs))),
        () -> assertInstanceOf(DispatchDecision.Wait.class, offer(request("calm", 0))),
        () -> assertEquals(5, dispatcher.takeDisplaced().orElseThrow().waiting().request().rank()),
        () -> assertEquals(ServiceDispatcher.MAX_WAITING, dispatcher.waiting()));
  }

  /** Guards against state and reports that grow with the number of organisations. */
  @Test
  void stateIsBoundedForManyOrganisations() {
    final OrganisationLedger ledger = new OrganisationLedger();
    for (int number = 0; number < 10_000; number++) {
      ledger.recordDemand(Optional.of(new OrganisationId("org-" + number)), 1, NOW_MS);
      dispatcher.offer(request("org-" + number, 0), FREE, NOW_MS);
    }
    assertAll(
        () -> assertEquals(256, ledger.size()),
        () -> assertEquals(8, dispatcher.demand(NOW_MS).orElseThrow().work().size()));
  }

  /**
   * Guards against long prompts that are hardly served: the longest tenth must be served half as
   * often as all, and each organisation a quarter as often.
   */
  @Test
  void longPromptsAndEachOrganisationAreServed() {
    final VirtualFleet fleet = new VirtualFleet(3, 36, true, 1);
    final Random random = new Random(1);
    for (int ms = 0; ms < 10_000; ms++) {
      if (random.nextDouble() < 0.3) {
        final long workMs = random.nextInt(10) == 0 ? 600 : 120;
        fleet.arrive("org-" + random.nextInt(24), 3, 500, 4_000, workMs);
      }
      fleet.advance();
    }
    final double all = servedShare(fleet.calls());
    final List<VirtualFleet.Call> longest =
        fleet.calls().stream().filter(call -> call.workMs() > 120).toList();
    final double worst =
        fleet.calls().stream()
            .map(VirtualFleet.Call::organisation)
            .distinct()
            .mapToDouble(
                name ->
                    servedShare(
                        fleet.calls().stream()
                            .filter(call -> call.organisation().equals(name))
                            .toList()))
            .min()
            .orElseThrow();
    assertAll(
        () -> assertTrue(all < 0.9, "the service must be overloaded: " + all),
        () -> assertTrue(servedShare(longest) > all / 2, servedShare(longest) + " of " + all),
        () -> assertTrue(worst > all / 4, worst + " of " + all));
  }

  private static double servedShare(final List<VirtualFleet.Call> calls) {
    return (double) calls.stream().filter(VirtualFleet.Call::isAnswered).count() / calls.size();
  }
}
