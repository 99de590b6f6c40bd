package org.bulrushweir.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeSet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Proves with real processes that accepted configurations come into force and stay there. */
class ConfigurationProcessTest {

  private static final long IN_FORCE_MS = 5_000;
  private static final int ACCEPTED = 0;
  private static final int CONFLICT = 4;
  private static final int UNAVAILABLE = 5;

  @TempDir private Path directory;
  private Fleet fleet;
  private String text;

  @BeforeEach
  void startFleet() throws Exception {
    text = Files.readString(Path.of("src/test/resources/fleet/test-fleet.toml"));
    fleet = new Fleet(directory);
    Fleet.startTogether(
        () -> fleet.startEngine("engine-1"),
        () -> fleet.startService("orders-1", "orders"),
        () -> fleet.startRouter("router-1"),
        () -> fleet.startRouter("router-2"));
    assertEquals(ACCEPTED, fleet.submit(text));
    awaitInForce(1, "engine-1", "orders-1", "router-1", "router-2");
  }

  @AfterEach
  void stopFleet() {
    fleet.close();
  }

  private String edited(final long base, final int slots) {
    return "base = " + base + "\n" + text.replace("slots = 16", "slots = " + slots);
  }

  private void awaitInForce(final long number, final String... names) throws Exception {
    final long startMs = System.currentTimeMillis();
    for (final String name : names) {
      Waiting.until(() -> fleet.configNumber(name) >= number);
      assertEquals(number, fleet.configNumber(name));
    }
    final long elapsedMs = System.currentTimeMillis() - startMs;
    assertTrue(elapsedMs <= IN_FORCE_MS, () -> "in force after " + elapsedMs + " ms");
  }

  @Test
  void ofRacingOperatorsOneWinsAndTheOtherIsTold() throws Exception {
    final Process first = fleet.startSubmit(edited(1, 10));
    final Process second = fleet.startSubmit(edited(1, 12));
    final TreeSet<Integer> codes = new TreeSet<>(List.of(first.waitFor(), second.waitFor()));
    assertEquals(new TreeSet<>(List.of(ACCEPTED, CONFLICT)), codes);
    awaitInForce(2, "engine-1", "orders-1", "router-1", "router-2");
  }

  @Test
  void textWithoutItsBaseIsNotAccepted() throws Exception {
    assertEquals(CONFLICT, fleet.submit(text));
    assertEquals(CONFLICT, fleet.submit(edited(0, 10)));
    assertEquals(1, fleet.configNumber("router-1"));
  }

  @Test
  void lostAnswerOfTheAcceptanceIsSettled() throws Exception {
    final Process submission = fleet.startSubmit(edited(1, 10));
    fleet.faults(false, false, 2);
    assertEquals(ACCEPTED, submission.waitFor());
    awaitInForce(2, "engine-1", "orders-1", "router-1", "router-2");
  }

  @Test
  void outageMeansNotAccepted() throws Exception {
    fleet.faults(true, false, 0);
    assertEquals(UNAVAILABLE, fleet.submit(edited(1, 10)));
    fleet.faults(false, false, 0);
    Thread.sleep(2_000);
    assertEquals(1, fleet.configNumber("router-1"));
  }

  @Test
  void joinersGetTheNewestFromTheirPeersDuringAnOutage() throws Exception {
    assertEquals(ACCEPTED, fleet.submit(edited(1, 10)));
    awaitInForce(2, "router-1");
    fleet.faults(true, false, 0);
    awaitInForce(2, "engine-1", "orders-1", "router-2");
    fleet.startRouter("router-3", "seeds = [\"127.0.0.1:" + fleet.peerPort("router-1") + "\"]");
    awaitInForce(2, "router-3");
  }

  @Test
  void frozenProcessWakesUpToTheNewest() throws Exception {
    fleet.process("router-2").signal("STOP");
    assertEquals(ACCEPTED, fleet.submit(edited(1, 10)));
    assertEquals(ACCEPTED, fleet.submit(edited(2, 12)));
    awaitInForce(3, "engine-1", "orders-1", "router-1");
    fleet.process("router-2").signal("CONT");
    awaitInForce(3, "router-2");
  }

  @Test
  void replacedProcessDoesNotGoBack() throws Exception {
    assertEquals(ACCEPTED, fleet.submit(edited(1, 10)));
    awaitInForce(2, "engine-1", "orders-1", "router-1", "router-2");
    fleet.process("router-2").kill();
    fleet.startRouter("router-2");
    awaitInForce(2, "router-2");
    assertEquals(2, fleet.configNumber("router-1"));
  }
}
