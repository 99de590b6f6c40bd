package org.bulrushweir.catalog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.bulrushweir.api.ZoneName;
import org.junit.jupiter.api.Test;

/** Tests which zones are evacuated, whatever happens to the store and whatever peers claim. */
class EvacuatedZonesTest {

  private static final String SEED = "4713";
  private static final long BOUND_MS = 5_000;
  private static final long CUT_OFF_MS = 2_500;
  private static final List<ZoneName> ZONES =
      List.of(new ZoneName("z0"), new ZoneName("z1"), new ZoneName("z2"));
  private static final ZoneName Z0 = ZONES.getFirst();

  private final EvacuatedZones zones = new EvacuatedZones(BOUND_MS);

  private void confirm(final long nowMs) {
    zones.recordConfirmation(nowMs);
    zones.expire();
  }

  private void snapshot(final long nowMs, final ZoneName... listed) {
    zones.recordConfirmation(nowMs);
    zones.replaceAll(List.of(listed), nowMs);
    zones.expire();
  }

  private void restore(final long nowMs, final ZoneName... listed) {
    zones.recordRestoration();
    snapshot(nowMs, listed);
  }

  @Test
  void rowEvacuatesItsZoneUntilItIsRemoved() {
    snapshot(0, Z0);
    confirm(900_000);
    assertEquals(Set.of(Z0), zones.zones());
    zones.remove(Z0);
    assertEquals(Set.of(), zones.zones());
  }

  @Test
  void snapshotWithoutTheRowEndsTheEvacuation() {
    snapshot(0, Z0);
    snapshot(100);
    assertFalse(zones.isEvacuated(Z0));
  }

  /** Guards against an evacuation that ends because the store lost its row. */
  @Test
  void rowMissingFromRestoredStoreEndsTheEvacuationOnlyIfItStaysMissing() {
    snapshot(0, Z0);
    restore(10_000);
    confirm(14_900);
    assertTrue(zones.isEvacuated(Z0));
    // The first response after the time may be older than it.
    confirm(15_100);
    assertTrue(zones.isEvacuated(Z0));
    confirm(15_200);
    assertFalse(zones.isEvacuated(Z0));
  }

  @Test
  void rowWrittenAgainAfterRestorationStaysInForce() {
    snapshot(0, Z0);
    restore(10_000);
    zones.put(Z0, 12_000);
    confirm(20_000);
    confirm(21_000);
    assertTrue(zones.isEvacuated(Z0));
  }

  @Test
  void missingRowStaysInForceWhileTheStoreIsAway() {
    snapshot(0, Z0);
    restore(10_000);
    zones.expire();
    confirm(400_000);
    assertTrue(zones.isEvacuated(Z0), "the response may be as old as the restoration");
  }

  @Test
  void claimCountsOnlyWhileTheStoreIsSilent() {
    snapshot(0);
    confirm(10_000);
    zones.recordClaim(Z0, 12_400);
    assertFalse(zones.isEvacuated(Z0));
    zones.recordClaim(Z0, 12_600);
    assertTrue(zones.isClaimed(Z0));
    assertEquals(List.of(), zones.read(16), "a claim is not passed on");
  }

  /** Guards against a response that was on its way while the row was written. */
  @Test
  void claimIsKeptUntilPollThatStartedAfterIt() {
    snapshot(0);
    zones.recordClaim(Z0, 60_000);
    confirm(60_500);
    assertTrue(zones.isEvacuated(Z0));
    confirm(60_600);
    assertFalse(zones.isEvacuated(Z0));
  }

  /** Guards against a copy of the store without the row that ends what only a peer has reported. */
  @Test
  void claimIsKeptAfterRestorationAsLongAsLostRow() {
    snapshot(0);
    zones.recordClaim(Z0, 60_000);
    zones.recordRestoration();
    snapshot(60_500);
    confirm(60_600);
    confirm(61_000);
    assertTrue(zones.isEvacuated(Z0));
    confirm(65_600);
    confirm(65_700);
    assertFalse(zones.isEvacuated(Z0));
  }

  /** Guards against a gateway that starts on a store that has just lost the row. */
  @Test
  void claimCountsAfterTheStartAsLongAsLostRow() {
    snapshot(0);
    zones.recordClaim(Z0, 300);
    confirm(1_000);
    confirm(5_200);
    assertTrue(zones.isEvacuated(Z0));
    confirm(5_400);
    confirm(5_500);
    assertFalse(zones.isEvacuated(Z0));
  }

  @Test
  void reportsAreBounded() {
    for (int number = 0; number < 100; number++) {
      zones.recordClaim(new ZoneName("claimed" + number), 0);
      zones.put(new ZoneName("row" + number), number);
    }
    assertEquals(164, zones.zones().size());
    assertEquals(16, zones.read(16).size());
    assertEquals(new ZoneName("row99"), zones.read(16).getFirst());
  }

  /**
   * Random orders of rows, polls, dropped histories, restorations, outages and claims. Guards
   * against an evacuation that ends without the store's word, and against one that never ends.
   */
  @Property(tries = 400, seed = SEED)
  void onlyTheStoreEndsAnEvacuation(@ForAll final long seed) {
    final Store store = new Store(new SplittableRandom(seed));
    for (int step = 0; step < 120; step++) {
      store.step();
    }
    for (int poll = 0; poll < 20; poll++) {
      store.nowMs += 1_000;
      store.poll();
    }
    assertEquals(store.rows, store.gateway.zones(), "what the store holds must prevail");
  }

  /** A store, a gateway that follows it, and what must hold there. */
  private static final class Store {

    private final SplittableRandom random;
    private final EvacuatedZones gateway = new EvacuatedZones(BOUND_MS);
    private final Set<ZoneName> rows = new HashSet<>();
    private final Map<ZoneName, Long> heldUntilMs = new HashMap<>();
    private Set<ZoneName> copy = Set.of();
    private Set<ZoneName> seen = new HashSet<>();
    private boolean restored;
    private boolean historyLost = true;
    private long nowMs = 1_000_000;
    private long polledMs = Long.MIN_VALUE / 2;
    private long startedMs = Long.MAX_VALUE / 2;

    Store(final SplittableRandom random) {
      this.random = random;
    }

    void step() {
      nowMs += random.nextInt(700);
      final ZoneName zone = ZONES.get(random.nextInt(ZONES.size()));
      switch (random.nextInt(10)) {
        case 0 -> rows.add(zone);
        case 1 -> rows.remove(zone);
        case 2 -> copy = Set.copyOf(rows);
        case 3 -> restore();
        case 4 -> historyLost = true;
        case 5 -> nowMs += random.nextInt(8_000);
        case 6, 7 -> claim(zone);
        default -> poll();
      }
      gateway.expire();
      check();
    }

    private void restore() {
      rows.clear();
      rows.addAll(copy);
      restored = true;
    }

    private void claim(final ZoneName zone) {
      final Set<ZoneName> before = gateway.zones();
      gateway.recordClaim(zone, nowMs);
      assertTrue(gateway.zones().containsAll(before), "a claim ends nothing");
      if (nowMs - polledMs <= CUT_OFF_MS && nowMs - startedMs > EvacuatedZones.START_MS) {
        assertEquals(before, gateway.zones(), "a claim adds nothing while the store answers");
      }
    }

    void poll() {
      startedMs = Math.min(startedMs, nowMs);
      polledMs = nowMs;
      if (restored) {
        gateway.recordRestoration();
        gateway.zones().stream()
            .filter(zone -> !gateway.isClaimed(zone) && !rows.contains(zone))
            .forEach(zone -> heldUntilMs.put(zone, nowMs + EvacuatedZones.RESTORED_ABSENCE_MS));
      }
      gateway.recordConfirmation(nowMs);
      if (restored || historyLost) {
        gateway.replaceAll(rows, nowMs);
      } else {
        rows.forEach(zone -> gateway.put(zone, nowMs));
        seen.stream().filter(zone -> !rows.contains(zone)).forEach(this::removed);
      }
      restored = false;
      historyLost = false;
      seen = new HashSet<>(rows);
      heldUntilMs.keySet().removeAll(rows);
      gateway.expire();
    }

    private void removed(final ZoneName zone) {
      gateway.remove(zone);
      heldUntilMs.remove(zone);
    }

    private void check() {
      assertTrue(gateway.zones().containsAll(seen), "rows that were read are in force");
      heldUntilMs.forEach(
          (zone, untilMs) -> {
            if (nowMs < untilMs) {
              assertTrue(gateway.isEvacuated(zone), zone + " ended by a restored store");
            }
          });
    }
  }
}
