package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.bulrushweir.catalog.ActivePlan;
import org.bulrushweir.platform.ExampleConfiguration;
import org.bulrushweir.store.RowChange;
import org.junit.jupiter.api.Test;

/** Tests which of the configurations that the store holds are activated. */
class PlanListenerTest {

  private static final long NOW_MS = 1_000;
  private static final String KEY = "key-of-dispatch";
  private static final String OTHER_KEY = "another-key";

  private final ActivePlan activePlan = new ActivePlan();
  private final PlanListener listener = new PlanListener(activePlan, () -> NOW_MS);

  private void read(final long version, final String key) {
    final String text = ExampleConfiguration.text(version).replace(KEY, key);
    listener.onChanges(List.of(new RowChange("config", Optional.of(text), 1)));
  }

  private void restore() {
    listener.onRestored(NOW_MS);
    listener.onUpToDate(NOW_MS);
  }

  private boolean isInForce(final String key) {
    return activePlan.current().orElseThrow().tenant(key).isPresent();
  }

  /** Guards against a number that a restored store gives out again, which stays without effect. */
  @Test
  void otherTextUnderTheVersionInForceIsActivated() {
    read(1, KEY);
    read(2, KEY);
    restore();
    read(1, KEY);
    assertEquals(2, activePlan.current().orElseThrow().version(), "gone back");
    read(2, OTHER_KEY);
    assertTrue(isInForce(OTHER_KEY));
    assertFalse(isInForce(KEY));
    assertTrue(activePlan.isConfirmed(NOW_MS));
  }

  @Test
  void replacedTextIsNotInForceAgain() {
    read(2, KEY);
    restore();
    read(2, OTHER_KEY);
    restore();
    read(2, KEY);
    assertTrue(isInForce(OTHER_KEY));
    assertFalse(activePlan.isConfirmed(NOW_MS), "the store holds another text");
    read(3, KEY);
    assertTrue(isInForce(KEY));
    assertTrue(activePlan.isConfirmed(NOW_MS));
  }

  @Test
  void sameTextIsNotActivatedAgain() {
    read(2, KEY);
    final Object active = activePlan.current().orElseThrow();
    read(2, KEY);
    assertEquals(active, activePlan.current().orElseThrow());
  }
}
