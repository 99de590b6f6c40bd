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

/** Tests which plan is in force. */
class PlanHolderTest {

  private static final String SEED = "31";

  private static RoutingPlan plan(final long version) {
    return new RoutingPlan(version, List.of(), List.of(), Map.of(), CallerLimits.DEFAULT);
  }

  @Property(seed = SEED)
  void versionsOnlyMoveForward(@ForAll final long seed) {
    final List<Integer> versions = new ArrayList<>();
    for (int version = 1; version <= 20; version++) {
      versions.add(version);
      versions.add(version);
    }
    Collections.shuffle(versions, new Random(seed));
    final PlanHolder plans = new PlanHolder();
    long last = 0;
    for (final int version : versions) {
      assertEquals(version > last, plans.offer(plan(version)));
      last = Math.max(last, version);
      assertEquals(last, plans.inForce().orElseThrow().version());
    }
  }

  @Test
  void planIsConfirmedOnlyForSomeTime() {
    final PlanHolder plans = new PlanHolder();
    plans.confirmed(1_000);
    assertFalse(plans.isConfirmed(1_000), "without a plan nothing is confirmed");
    plans.offer(plan(1));
    assertTrue(plans.isConfirmed(1_000 + PlanHolder.CONFIRMED_FOR_MS));
    assertFalse(plans.isConfirmed(1_001 + PlanHolder.CONFIRMED_FOR_MS));
  }
}
