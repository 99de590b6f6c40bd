package org.bulrushweir.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.bulrushweir.affinity.ChatLocationMap;
import org.bulrushweir.api.AttemptKey;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.Incarnation;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.api.RequestId;
import org.bulrushweir.declaration.WorkClass;
import org.bulrushweir.delivery.RefusalKind;
import org.bulrushweir.membership.PoolStatistics;
import org.junit.jupiter.api.Test;

/** Tests for {@link EndpointGate}. */
class EndpointGateTest {

  private static final long START_MS = 1_000_000;
  private static final long NOW_MS = START_MS + 10_000;
  private static final int OUTPUT_TOKENS = 100;

  /** The work of one {@link #QUICK} offer, in work units. */
  private static final long WORK_UNITS = 800;

  private static final EndpointId SELF = new EndpointId("engine-1");
  private static final EndpointId OTHER = new EndpointId("engine-2");
  private static final WorkClass QUICK = new WorkClass("quick", 0, 20_000, 1_500, 40, true);
  private static final WorkClass REVIEW = new WorkClass("review", 2, 300_000, 20_000, 600, false);
  private static final OrganisationId ORGANISATION = new OrganisationId("org-a");

  private final EndpointGate gate =
      new EndpointGate(
          SELF,
          new Incarnation(START_MS),
          new AdmissionSettings(4, 1, 1.25, Map.of()),
          new ChatLocationMap(1_000, START_MS),
          START_MS);
  private long requests;

  private Offer offer(final WorkClass workClass, final long chat, final int attempt) {
    requests++;
    return new Offer(
        new AttemptKey(new RequestId(requests), attempt),
        ORGANISATION,
        workClass,
        chat,
        0,
        OUTPUT_TOKENS,
        false,
        NOW_MS,
        NOW_MS + workClass.firstTokenMs());
  }

  private static PoolStatistics pool(final double mean, final long leastOfOthers) {
    return new PoolStatistics(2, 2, mean, leastOfOthers, 0);
  }

  private static RefusalKind refusal(final AdmissionDecision decision) {
    return assertInstanceOf(AdmissionDecision.Refused.class, decision).kind();
  }

  private static void assertAdmitted(final AdmissionDecision decision) {
    assertInstanceOf(AdmissionDecision.Admitted.class, decision);
  }

  @Test
  void endpointAcceptsWorkWhenAllMembersOfThePoolHaveTheSameLoad() {
    assertAdmitted(gate.offer(offer(QUICK, 1, 1), pool(0, 0)));
    assertAdmitted(gate.offer(offer(QUICK, 2, 1), pool(WORK_UNITS, WORK_UNITS)));
  }

  @Test
  void endpointWithoutPeersHasNoLoadLimit() {
    for (int chat = 1; chat <= 8; chat++) {
      final PoolStatistics alone = new PoolStatistics(1, 1, gate.load(), Long.MAX_VALUE, 0);
      assertAdmitted(gate.offer(offer(QUICK, chat, 1), alone));
    }
  }

  @Test
  void endpointAboveTheLoadMultipleRefuses() {
    assertAdmitted(gate.offer(offer(QUICK, 1, 1), pool(0, 0)));
    assertEquals(
        RefusalKind.OVERLOADED, refusal(gate.offer(offer(QUICK, 2, 1), pool(WORK_UNITS / 2, 0))));
  }

  @Test
  void oneLargeAttemptDoesNotBlockSmallOnes() {
    final Offer large =
        new Offer(
            new AttemptKey(new RequestId(99), 1),
            ORGANISATION,
            REVIEW,
            9,
            5_000,
            600,
            false,
            NOW_MS,
            NOW_MS + REVIEW.firstTokenMs());
    assertAdmitted(gate.offer(large, pool(0, 0)));
    assertAdmitted(gate.offer(offer(QUICK, 1, 1), pool(4_900, 0)));
  }

  @Test
  void movedChatIsRedirectedToItsCacheOnFirstAttemptsOnly() {
    gate.recordMove(7, OTHER, NOW_MS);
    final AdmissionDecision first = gate.offer(offer(QUICK, 7, 1), pool(0, 0));
    assertEquals(RefusalKind.MOVED, refusal(first));
    assertEquals(OTHER, ((AdmissionDecision.Refused) first).movedTo());
    assertAdmitted(gate.offer(offer(QUICK, 7, 2), pool(0, 0)));
  }

  @Test
  void leavingEndpointRefusesAttempts() {
    gate.setLeaving(true);
    assertEquals(RefusalKind.LEAVING, refusal(gate.offer(offer(QUICK, 1, 1), pool(0, 0))));
    assertTrue(gate.report(NOW_MS).leaving());
  }

  @Test
  void pausesDuringPrefillDoNotCountAsSlowness() {
    final PoolStatistics equal = new PoolStatistics(2, 2, WORK_UNITS, WORK_UNITS, 20_000);
    final Offer prefilling = offer(QUICK, 1, 1);
    assertAdmitted(gate.offer(prefilling, equal));
    gate.startNext(NOW_MS);
    gate.recordToken(prefilling.key(), 0, NOW_MS + 500);
    assertFalse(gate.report(NOW_MS + 520).paceMicros() > 40_000);
    assertAdmitted(gate.offer(offer(QUICK, 2, 1), equal));
  }

  @Test
  void longWorkLeavesReservedSlotsFree() {
    final PoolStatistics busy = pool(100_000, 100_000);
    for (int chat = 1; chat <= 4; chat++) {
      assertAdmitted(gate.offer(offer(REVIEW, chat, 1), busy));
    }
    int started = 0;
    while (gate.startNext(NOW_MS).isPresent()) {
      started++;
    }
    assertEquals(3, started);
    assertAdmitted(gate.offer(offer(QUICK, 9, 1), busy));
    assertTrue(gate.startNext(NOW_MS).isPresent());
  }
}
