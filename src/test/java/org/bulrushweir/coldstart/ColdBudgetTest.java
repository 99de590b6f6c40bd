package org.bulrushweir.coldstart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.balancing.PromptSegment;
import org.bulrushweir.catalog.EndpointRecord;
import org.junit.jupiter.api.Test;

/** Tests what one gateway sends to a cold endpoint, of which its share is 13 requests. */
class ColdBudgetTest {

  private static final NodeId SELF = new NodeId("gateway-1");
  private static final int SHARE = 13;
  private static final long START_MS = 3_000;
  private static final List<PromptSegment> LONG =
      List.of(new PromptSegment(1, 5_000), new PromptSegment(2, 100));
  private static final List<PromptSegment> UNSHARED = List.of(new PromptSegment(3, 9_200));

  private final ColdEndpoints endpoints = new ColdEndpoints();
  private final GatewayView view = new GatewayView(SELF);
  private final ColdBudget budget = new ColdBudget(endpoints, view, service -> OptionalInt.of(27));

  private static EndpointRecord endpoint(final long startedAtMs, final long coldForMs) {
    return new EndpointRecord(
        new EndpointId("engine-1"),
        new ServiceName("chat"),
        "127.0.0.1",
        1,
        new ZoneName("zone-1"),
        8,
        false,
        startedAtMs,
        coldForMs);
  }

  /** Reads a registration by which the endpoint is cold, when this gateway has its share. */
  private EndpointRecord cold() {
    view.update(0);
    view.recordRegistered(Set.of(SELF), 0);
    for (long nowMs = 0; nowMs <= START_MS; nowMs += 200) {
      view.update(nowMs);
    }
    final EndpointRecord cold = endpoint(1, 60_000);
    endpoints.observe(cold, 1, START_MS);
    return cold;
  }

  private int send(final EndpointRecord endpoint, final int attempts, final long nowMs) {
    int sent = 0;
    for (int attempt = 0; attempt < attempts; attempt++) {
      if (budget.trySend(endpoint, nowMs)) {
        sent++;
        budget.recordAnswer(endpoint.id(), nowMs);
      }
    }
    return sent;
  }

  /** Without the budget all requests would be sent. */
  @Test
  void coldEndpointGetsTheShareInAnySecond() {
    final EndpointRecord cold = cold();
    assertEquals(SHARE, send(cold, 100, START_MS));
    assertFalse(budget.accepts(cold, START_MS + 900));
    assertEquals(0, send(cold, 100, START_MS + 900));
    budget.update(START_MS + 900);
    assertEquals(SHARE, send(cold, 100, START_MS + SendWindow.WINDOW_MS));
  }

  /** Guards against requests that a cut link holds back and that arrive all together. */
  @Test
  void requestsWithoutAnswerCountUntilTheyAreAnswered() {
    final EndpointRecord cold = cold();
    for (int request = 0; request < SHARE; request++) {
      assertTrue(budget.trySend(cold, START_MS));
    }
    for (long nowMs = START_MS; nowMs <= START_MS + 4_000; nowMs += 200) {
      budget.update(nowMs);
    }
    assertFalse(budget.trySend(cold, START_MS + 4_000));
    budget.recordAnswer(cold.id(), START_MS + 4_000);
    assertFalse(budget.trySend(cold, START_MS + 4_900));
    for (long nowMs = START_MS + 4_200; nowMs <= START_MS + 5_200; nowMs += 200) {
      budget.update(nowMs);
    }
    assertEquals(1, send(cold, 5, START_MS + 5_200));
  }

  /** Guards against a full share right after many requests to the endpoint while it was warm. */
  @Test
  void requestsBeforeTheEndpointBecameColdCount() {
    final EndpointRecord warm = endpoint(1, 0);
    assertEquals(40, send(warm, 40, START_MS - 100));
    assertEquals(0, send(cold(), 40, START_MS));
  }

  @Test
  void reservedRequestsLeaveLessToOthersButAreSent() {
    final EndpointRecord cold = cold();
    for (int request = 0; request < SHARE; request++) {
      assertTrue(budget.unavailable(List.of(cold), List.of(), START_MS).isEmpty());
      budget.reserve(cold, START_MS);
    }
    assertEquals(Set.of(cold.id()), budget.unavailable(List.of(cold), List.of(), START_MS));
    assertEquals(SHARE, send(cold, SHARE + 1, START_MS + 300));
  }

  /** Guards against prompts that nobody shares taking what would warm the endpoint's cache. */
  @Test
  void lastPartOfTheShareIsForLongSharedPrompts() {
    final EndpointRecord cold = cold();
    send(cold, SHARE - 4, START_MS);
    assertEquals(Set.of(cold.id()), budget.unavailable(List.of(cold), UNSHARED, START_MS));
    assertEquals(Set.of(), budget.unavailable(List.of(cold), LONG, START_MS));
    assertEquals(1, budget.keptAway());
  }

  @Test
  void requestsAreSentBackOnlyIfAllEndpointsAreCold() {
    final EndpointRecord cold = cold();
    final EndpointRecord warm =
        new EndpointRecord(
            new EndpointId("engine-2"), cold.service(), "127.0.0.1", 2, cold.zone(), 8, false, 1);
    assertEquals(600, budget.retryAfterMs(List.of(cold, warm.asDraining()), START_MS));
    assertEquals(0, budget.retryAfterMs(List.of(cold, warm), START_MS));
  }

  @Test
  void serviceWithoutLimitIsNotLimited() {
    final ColdBudget unlimited = new ColdBudget(endpoints, view, service -> OptionalInt.empty());
    assertTrue(unlimited.trySend(cold(), 0));
    assertEquals(Set.of(), unlimited.unavailable(List.of(cold()), UNSHARED, 0));
  }

  /** Guards against an endpoint that never gets warm, or that is taken for warm too soon. */
  @Test
  void timeRunsFromTheFirstReadOfEachVersion() {
    final EndpointId id = endpoint(1, 0).id();
    endpoints.observe(endpoint(1, 3_000), 7, 1_000);
    endpoints.observe(endpoint(1, 3_000), 7, 2_000);
    assertEquals(1_000, endpoints.coldForMs(id, 3_000));
    assertEquals(List.of(id), endpoints.drainTurnedCold());
    endpoints.observe(endpoint(1, 3_000), 8, 3_500);
    assertEquals(3_000, endpoints.coldForMs(id, 3_500));
    endpoints.observe(endpoint(0, 0), 9, 3_600);
    assertEquals(1, endpoints.count(3_600));
    endpoints.observe(endpoint(1, 0), 9, 3_700);
    assertEquals(0, endpoints.count(3_700));
    assertEquals(List.of(), endpoints.drainTurnedCold());
    assertEquals(List.of(id), endpoints.drainTurnedWarm(3_700));
    endpoints.observe(endpoint(2, 3_000), 10, 9_000);
    assertEquals(3_000, endpoints.coldForMs(id, 9_000));
  }

  /** Guards against a preview that counts as a request which was kept away. */
  @Test
  void previewCountsNothing() {
    final EndpointRecord cold = cold();
    send(cold, 100, START_MS);
    final long keptAway = budget.keptAway();
    assertEquals(Set.of(cold.id()), budget.previewUnavailable(List.of(cold), UNSHARED, START_MS));
    assertEquals(keptAway, budget.keptAway());
    assertEquals(Set.of(cold.id()), budget.unavailable(List.of(cold), UNSHARED, START_MS));
    assertEquals(keptAway + 1, budget.keptAway());
  }
}
