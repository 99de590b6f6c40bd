package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.bulrushweir.wire.generated.RouterReport;
import org.bulrushweir.wire.generated.TableReading;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests gateways that poll less often because they tell each other what they have read. */
class SharedReadingTest {

  private static final int SIZE = 30;
  private static final long CONFIRMATION_VALID_MS = 2_600;
  private static final long CONFIGURATION_BOUND_MS = 2_000;

  private final ReadingFleet fleet = new ReadingFleet(SIZE, true, false);

  private static RouterReport report(final long era, final long version) {
    return RouterReport.newBuilder()
        .addReadings(TableReading.newBuilder().setTable(1).setEra(era).setVersion(version))
        .build();
  }

  private static double callsPerSecond(final ReadingFleet fleet, final long changeEveryMs) {
    final long before = fleet.calls();
    for (int passed = 0; passed < 40_000; passed += 100) {
      if (changeEveryMs > 0 && passed % changeEveryMs == 0) {
        fleet.store().set("row");
      }
      fleet.advance(100);
    }
    return (fleet.calls() - before) / 40.0 / fleet.members().size();
  }

  private void assertConfirmedThroughout(final long ms) {
    for (int passed = 0; passed < ms; passed += 50) {
      fleet.advance(50);
      for (final ReadingFleet.Member member : fleet.members()) {
        assertTrue(
            member.confirmationAgeMs() <= CONFIRMATION_VALID_MS,
            () -> "age of the confirmation: " + member.confirmationAgeMs());
      }
    }
    assertEquals(List.of(), fleet.breaches());
  }

  /** Guards against polls by each gateway every 1.4 s, 0.7 calls per second and table. */
  @ParameterizedTest
  @ValueSource(ints = {10, 30, 100})
  void calmDayCostsFewCalls(final int size) {
    final double alone = callsPerSecond(new ReadingFleet(size, false, false), 0);
    final ReadingFleet sharing = new ReadingFleet(size, true, false);
    final double shared = callsPerSecond(sharing, 0);
    assertTrue(alone > 0.65, "calls without sharing: " + alone);
    assertTrue(shared < 0.25, "calls: " + shared);
    assertEquals(List.of(), sharing.breaches());
  }

  /** Guards against a call for each change of little importance. */
  @ParameterizedTest
  @ValueSource(ints = {10, 30, 100})
  void dayOfMinorChangesCostsFewerCalls(final int size) {
    final double alone = callsPerSecond(new ReadingFleet(size, false, true), 200);
    final ReadingFleet sharing = new ReadingFleet(size, true, true);
    final double shared = callsPerSecond(sharing, 200);
    System.out.printf(
        "day of changes, %d gateways: %.2f before, %.2f after%n", size, alone, shared);
    assertTrue(shared < 0.5 * alone, "calls: " + shared + " instead of " + alone);
    assertEquals(List.of(), sharing.breaches());
  }

  @Test
  void confirmationsHoldWhileTheStoreAnswers() {
    assertConfirmedThroughout(60_000);
    fleet.spread("changed");
    assertConfirmedThroughout(20_000);
  }

  /** Guards against a change that waits for the end of a long poll on a silent connection. */
  @Test
  void changeIsReadOnSilentConnections() {
    for (int silent = 1; silent <= SIZE; silent += SIZE - 1) {
      for (int round = 0; round < 10; round++) {
        fleet.advance(3_000 + 370 * round);
        fleet.members().subList(0, silent).forEach(member -> member.client().silence());
        fleet.advance(190 * round);
        final long ms = fleet.spread("changed");
        final long boundMs = silent == 1 ? 600 : 1_300;
        assertTrue(ms <= boundMs, silent + " silent, read after " + ms + " ms");
        fleet.advance(200);
        fleet.members().forEach(member -> assertTrue(member.client().open() <= 2, "open calls"));
      }
    }
    fleet.advance(1_000);
    fleet.members().subList(1, SIZE).forEach(member -> member.client().silence());
    final long ms = fleet.spread("changed");
    assertTrue(ms <= 600, "all but one silent, read after " + ms + " ms");
    assertConfirmedThroughout(10_000);
  }

  /** Guards against a long poll that goes on when nobody reports any more. */
  @Test
  void gatewayWhosePeersDieOrAreCutOffReadsForItself() {
    final ReadingFleet.Member last = fleet.members().getFirst();
    for (final ReadingFleet.Member peer : fleet.members().subList(1, SIZE)) {
      peer.setCutOff(true);
    }
    last.client().silence();
    final long ms = fleet.spread("changed");
    assertTrue(ms <= CONFIGURATION_BOUND_MS, "read after " + ms + " ms");
    assertConfirmedThroughout(20_000);
  }

  /** Guards against reports that a frozen process finds in its socket and takes for fresh. */
  @Test
  void gatewayThatResumesBelievesNoOldReport() {
    final ReadingFleet.Member member = fleet.members().getFirst();
    for (int round = 0; round < 5; round++) {
      member.setFrozen(true);
      member.client().silence();
      fleet.advance(1_500 + 700 * round);
      fleet.store().set("changed");
      fleet.advance(300);
      member.setFrozen(false);
      final long ms = fleet.untilRead();
      assertTrue(ms <= 1_000, "read " + ms + " ms after the process resumed");
      fleet.advance(3_000);
    }
    assertEquals(List.of(), fleet.breaches());
  }

  /** Guards against peers that still report but learn nothing. */
  @Test
  void peersThatLieBehindDelayNothing() {
    final List<ReadingFleet.Member> peers = fleet.members().subList(1, SIZE);
    peers.forEach(peer -> peer.client().setUnreachable(true));
    fleet.advance(5_000);
    fleet.members().getFirst().client().silence();
    fleet.store().set("changed");
    fleet.advance(CONFIGURATION_BOUND_MS);
    assertTrue(fleet.members().getFirst().isUpToDate());
    assertEquals(List.of(), fleet.breaches());
  }

  @Test
  void peerWithAnOlderEraOrAheadCostsFewCalls() {
    final ReadingFleet.Member liar = fleet.members().getLast();
    liar.forge(report(fleet.store().era() - 1, 1));
    final double behind = callsPerSecond(fleet, 0);
    liar.forge(report(fleet.store().era(), 1_000));
    final double ahead = callsPerSecond(fleet, 0);
    liar.forge(null);
    assertTrue(behind < 0.7 && ahead < 0.7, "calls: " + behind + ", " + ahead);
    assertConfirmedThroughout(10_000);
    final long ms = fleet.spread("changed");
    assertTrue(ms <= 500, "read after " + ms + " ms");
  }

  /** Guards against a peer of an older era that confirms, and a restoration that is missed. */
  @Test
  void restorationIsNoticedOnSilentConnections() {
    fleet.spread("lost later");
    fleet.advance(3_000);
    fleet.members().forEach(member -> member.client().silence());
    fleet.store().restore();
    fleet.advance(CONFIGURATION_BOUND_MS);
    final long snapshots =
        fleet.members().stream().mapToLong(member -> member.client().snapshots()).sum();
    assertEquals(2 * SIZE, snapshots);
    fleet.store().set("given out again");
    assertTrue(fleet.untilRead() <= 500);
    assertConfirmedThroughout(10_000);
  }

  /** Guards against an outage that counts from the start of a poll long before it. */
  @Test
  void outageCountsFromTheLastConfirmation() {
    fleet.advance(5_000);
    final ReadingFleet.Member member = fleet.members().getFirst();
    final long startMs = member.timeMs();
    fleet.members().forEach(it -> it.client().setUnreachable(true));
    fleet.advance(4_000);
    assertTrue(
        member.unreachableSinceMs() >= startMs - 1_300, "stated: " + member.unreachableSinceMs());
    fleet.members().forEach(it -> it.client().setUnreachable(false));
    final long ms = fleet.spread("changed");
    assertTrue(ms <= CONFIGURATION_BOUND_MS, "read after " + ms + " ms");
  }

  /** Guards against abandoned polls whenever other tables change, and polls longer than history. */
  @Test
  void changesOfOtherTablesCostNothing() {
    final long before = fleet.calls();
    for (int second = 0; second < 40; second++) {
      fleet.store().setElsewhere();
      fleet.advance(1_000);
    }
    final double calls = (fleet.calls() - before) / 40.0 / SIZE;
    assertTrue(calls < 0.4, "calls: " + calls);
    fleet.members().forEach(member -> assertEquals(1, member.client().snapshots()));
    fleet.members().forEach(member -> assertTrue(member.client().open() <= 2));
  }
}
