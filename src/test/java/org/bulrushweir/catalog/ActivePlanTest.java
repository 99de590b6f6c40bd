package org.bulrushweir.catalog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests which plan is in force and for how long it is confirmed. */
class ActivePlanTest {

  private static final String SEED = "31";

  private static RoutingPlan plan(final long version) {
    return new RoutingPlan(version, List.of(), List.of(), false, Map.of(), CallerLimits.DEFAULT);
  }

  @Property(seed = SEED)
  void versionsOnlyIncrease(@ForAll final long seed) {
    final List<Integer> versions = new ArrayList<>();
    for (int version = 1; version <= 20; version++) {
      versions.add(version);
      versions.add(version);
    }
    Collections.shuffle(versions, new Random(seed));
    final ActivePlan activePlan = new ActivePlan();
    long last = 0;
    for (final int version : versions) {
      assertEquals(version > last, activePlan.adoptIfNewer(plan(version)));
      last = Math.max(last, version);
      assertEquals(last, activePlan.current().orElseThrow().version());
    }
  }

  @Test
  void confirmationExpires() {
    final ActivePlan activePlan = new ActivePlan();
    activePlan.recordConfirmation(1_000);
    assertFalse(activePlan.isConfirmed(1_000), "not confirmed without a plan");
    activePlan.adoptIfNewer(plan(1));
    assertTrue(activePlan.isConfirmed(1_000 + ActivePlan.CONFIRMATION_VALID_MS));
    assertFalse(activePlan.isConfirmed(1_001 + ActivePlan.CONFIRMATION_VALID_MS));
  }

  @Test
  void restoredStoreConfirmsNothingUntilItHoldsThePresentPlan() {
    final ActivePlan activePlan = new ActivePlan();
    activePlan.adoptIfNewer(plan(3));
    activePlan.recordRead(3, 1_000);
    activePlan.recordRestoration();
    assertFalse(activePlan.isConfirmed(1_000));
    activePlan.recordRead(2, 1_100);
    activePlan.recordConfirmation(1_200);
    assertFalse(activePlan.isConfirmed(1_200), "the store holds an older plan");
    activePlan.recordRead(3, 1_300);
    assertTrue(activePlan.isConfirmed(1_300));
    assertEquals(3, activePlan.current().orElseThrow().version());
  }

  @Test
  void planOlderThanThatOfPeerIsNotConfirmed() {
    final ActivePlan activePlan = new ActivePlan();
    activePlan.adoptIfNewer(plan(3));
    activePlan.recordRead(3, 1_000);
    activePlan.recordPeerVersion(4, 1_000);
    assertFalse(activePlan.isConfirmed(1_000));
    activePlan.adoptIfNewer(plan(4));
    activePlan.recordRead(4, 1_100);
    activePlan.recordPeerVersion(3, 1_100);
    assertTrue(activePlan.isConfirmed(1_100));
  }

  @Test
  void processThatStartsOnAnOlderPlanThanThatOfPeerIsBehindUntilItHasTheNewerOne() {
    for (final boolean peerFirst : new boolean[] {true, false}) {
      final ActivePlan activePlan = new ActivePlan();
      if (peerFirst) {
        activePlan.recordPeerVersion(4, 900);
      }
      activePlan.adoptIfNewer(plan(2));
      activePlan.recordRead(2, 1_000);
      activePlan.recordPeerVersion(4, 1_200);
      activePlan.adoptIfNewer(plan(3));
      assertTrue(activePlan.isBehindSinceStart(1_300));
      assertFalse(
          activePlan.isBehindSinceStart(1_201 + ActivePlan.PEER_REPORT_VALID_MS),
          "no peer reports a newer plan");
      activePlan.recordPeerVersion(4, 9_000);
      assertTrue(activePlan.isBehindSinceStart(9_000));
      activePlan.adoptIfNewer(plan(4));
      assertFalse(activePlan.isBehindSinceStart(9_000));
    }
  }

  @Test
  void processThatRunsServesOnWhilePeersAreAhead() {
    final ActivePlan activePlan = new ActivePlan();
    activePlan.adoptIfNewer(plan(2));
    activePlan.recordRead(2, 1_000);
    activePlan.recordPeerVersion(2, 1_200);
    activePlan.recordPeerVersion(3, 1_001 + ActivePlan.START_MS);
    assertFalse(activePlan.isBehindSinceStart(1_001 + ActivePlan.START_MS));
  }
}
