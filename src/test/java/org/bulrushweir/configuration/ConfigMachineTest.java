package org.bulrushweir.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.bulrushweir.api.ConfigNumber;
import org.bulrushweir.api.NodeId;
import org.junit.jupiter.api.Test;

/** Tests for {@link ConfigMachine}. */
class ConfigMachineTest {

  private static final String SEED = "77";
  private static final NodeId PEER = new NodeId("router-9");

  private static String text(final int number) {
    return "[classes.quick]\npriority = " + number + "\n[organisations.org-a]\n";
  }

  private static ConfigEvent.TextArrived arrival(final int number) {
    return new ConfigEvent.TextArrived(
        new ConfigNumber(number), ConfigMachine.digest(text(number)), text(number));
  }

  @Property(seed = SEED)
  void numberInForceNeverDecreasesWithReorderedTexts(@ForAll final long seed) {
    final List<Integer> order = new ArrayList<>();
    for (int number = 1; number <= 20; number++) {
      order.add(number);
      order.add(number);
    }
    Collections.shuffle(order, new Random(seed));
    final ConfigMachine machine = new ConfigMachine();
    long last = 0;
    for (final int number : order) {
      machine.on(arrival(number));
      assertTrue(machine.number().value() >= last);
      last = machine.number().value();
    }
    assertEquals(20, last);
  }

  @Test
  void newerNumberIsFetchedOnce() {
    final ConfigMachine machine = new ConfigMachine();
    final ConfigEvent seen = new ConfigEvent.NumberSeen(new ConfigNumber(3), PEER);
    assertEquals(List.of(new ConfigAction.FetchFromPeer(PEER)), machine.on(seen));
    assertEquals(List.of(), machine.on(seen));
    machine.on(new ConfigEvent.FetchFailed());
    assertEquals(List.of(new ConfigAction.FetchFromPeer(PEER)), machine.on(seen));
  }

  @Test
  void textThatDoesNotMatchItsDigestIsRejected() {
    final ConfigMachine machine = new ConfigMachine();
    final ConfigEvent damaged =
        new ConfigEvent.TextArrived(
            new ConfigNumber(1), ConfigMachine.digest(text(1)), text(1) + "x");
    assertInstanceOf(ConfigAction.ReportInvalidConfig.class, machine.on(damaged).getFirst());
    assertEquals(ConfigNumber.NONE, machine.number());
  }

  @Test
  void configurationUnderNumberThatIsGivenOutAgainReplacesTheLostOne() {
    final ConfigMachine machine = new ConfigMachine();
    machine.on(arrival(2));
    final String later = text(9);
    final String digest = ConfigMachine.digest(later);
    final ConfigHead head = new ConfigHead(2, digest, "nonce");
    assertEquals(
        List.of(new ConfigAction.FetchFromPlatform(head)),
        machine.on(new ConfigEvent.HeadRead(head)));
    machine.on(new ConfigEvent.TextArrived(new ConfigNumber(2), digest, later));
    assertEquals(digest, machine.inForce().orElseThrow().digest());
    machine.on(arrival(2));
    assertEquals(digest, machine.inForce().orElseThrow().digest(), "peers may still have the lost");
  }
}
