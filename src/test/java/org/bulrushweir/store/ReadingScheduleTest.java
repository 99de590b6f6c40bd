package org.bulrushweir.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Optional;
import org.bulrushweir.api.NodeId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests when a gateway asks the store itself and when it relies on its peers. */
class ReadingScheduleTest {

  private static final NodeId PEER = new NodeId("gateway-2");
  private static final long ERA = 3;
  private static final long VERSION = 20;
  private static final long START_MS = 100_000;
  private static final FeedCall POLL = new FeedCall(CallKind.POLL, START_MS, 10_000);

  private final ReadingSchedule schedule = new ReadingSchedule(true, () -> 0.5);
  private long tickedMs = START_MS - 2_000;

  private static ChangePage page(final long version, final long... rowVersions) {
    return new ChangePage(
        Arrays.stream(rowVersions)
            .mapToObj(row -> new RowChange("row", Optional.of(""), row))
            .toList(),
        version,
        ERA);
  }

  private boolean hear(final long version, final long ageMs, final long nowMs) {
    runUntil(nowMs);
    return schedule.hear(PEER, new PeerReading(ERA, version, ageMs), nowMs);
  }

  private void runUntil(final long untilMs) {
    for (; tickedMs < untilMs; tickedMs = Math.min(untilMs, tickedMs + 50)) {
      schedule.tick(tickedMs);
    }
    schedule.tick(untilMs);
  }

  @BeforeEach
  void readTable() {
    runUntil(START_MS);
    schedule.recordPage(page(VERSION), new FeedCall(CallKind.SNAPSHOT, START_MS, 0), START_MS);
    hear(VERSION, 100, START_MS);
  }

  /** Guards against long waits of a gateway that nobody tells of changes. */
  @Test
  void onlyGatewaysWithPeersWaitLong() {
    assertEquals(12_750, schedule.nextWaitMs(START_MS));
    assertEquals(ReadingSchedule.LONE_WAIT_MS, schedule.nextWaitMs(START_MS + 1_001));
    assertEquals(PollAction.KEEP, schedule.check(POLL, START_MS + 900));
    assertEquals(PollAction.ABANDON_PEERS_SILENT, schedule.check(POLL, START_MS + 1_401));
    assertEquals(
        PollAction.KEEP,
        schedule.check(new FeedCall(CallKind.POLL, START_MS, 1_400), START_MS + 1_900));
  }

  /** Guards against a setting that changes what gateways do without it. */
  @Test
  void withoutSharingNothingChanges() {
    final ReadingSchedule alone = new ReadingSchedule(false, () -> 0.5);
    alone.tick(START_MS);
    alone.recordPage(page(VERSION, VERSION), POLL, START_MS + 2_000);
    assertEquals(START_MS + 2_000, alone.confirmedAtMs());
    assertFalse(alone.hear(PEER, new PeerReading(ERA, VERSION, 0), START_MS + 2_100));
    assertFalse(alone.hear(PEER, new PeerReading(ERA + 1, VERSION, 0), START_MS + 2_100));
    assertEquals(ReadingSchedule.LONE_WAIT_MS, alone.nextWaitMs(START_MS + 2_100));
    assertEquals(PollAction.KEEP, alone.check(POLL, START_MS + 9_000));
    assertEquals(POLL.startedMs(), alone.answeredUntilMs(POLL));
    assertTrue(alone.own(START_MS).isEmpty());
  }

  @Test
  void peerConfirmsWhatItHasNotReadBeyond() {
    assertTrue(hear(VERSION, 100, START_MS + 300));
    assertEquals(START_MS + 200, schedule.confirmedAtMs());
    assertTrue(hear(VERSION - 1, 50, START_MS + 300));
    assertFalse(hear(VERSION - 1, 200, START_MS + 310), "older than the last confirmation");
    assertFalse(hear(VERSION + 1, 0, START_MS + 320), "not read here");
    assertEquals(START_MS + 250, schedule.confirmedAtMs());
  }

  /** Guards against a change that waits for the end of a poll on a silent connection. */
  @Test
  void pollThatDoesNotDeliverWhatPeerHasReadIsAbandoned() {
    hear(VERSION + 1, 0, START_MS + 300);
    hear(VERSION + 2, 0, START_MS + 500);
    assertEquals(PollAction.KEEP, schedule.check(POLL, START_MS + 540));
    assertEquals(PollAction.ABANDON_PEER_AHEAD, schedule.check(POLL, START_MS + 550));
    final FeedCall next = new FeedCall(CallKind.POLL, START_MS + 560, 0);
    schedule.recordPage(page(VERSION + 2, VERSION + 1, VERSION + 2), next, START_MS + 570);
    assertEquals(PollAction.KEEP, schedule.check(POLL, START_MS + 570));
  }

  /** Guards against a peer that makes others poll again and again. */
  @Test
  void peerThatTheStoreContradictsIsIgnoredForSomeTime() {
    hear(VERSION + 1, 0, START_MS + 300);
    schedule.recordPage(page(VERSION), POLL, START_MS + 310);
    assertEquals(PollAction.ABANDON_PEER_AHEAD, schedule.check(POLL, START_MS + 600), "older call");
    final FeedCall next = new FeedCall(CallKind.POLL, START_MS + 600, 0);
    schedule.recordPage(page(VERSION), next, START_MS + 610);
    hear(VERSION + 5, 0, START_MS + 620);
    assertEquals(PollAction.KEEP, schedule.check(POLL, START_MS + 900));
    assertTrue(hear(VERSION, 0, START_MS + 5_700));
  }

  @Test
  void otherEraIsLeftToTheStoreAtOnce() {
    schedule.hear(PEER, new PeerReading(ERA - 1, VERSION, 0), START_MS + 100);
    assertEquals(PollAction.ABANDON_OTHER_ERA, schedule.check(POLL, START_MS + 110));
    assertEquals(0, schedule.nextWaitMs(START_MS + 110));
    final FeedCall next = new FeedCall(CallKind.POLL, START_MS + 120, 0);
    schedule.recordPage(page(VERSION), next, START_MS + 130);
    schedule.hear(PEER, new PeerReading(ERA - 1, VERSION, 0), START_MS + 200);
    assertEquals(PollAction.KEEP, schedule.check(POLL, START_MS + 210));
  }

  /** Guards against a fleet whose connections are all silent. */
  @Test
  void storeIsAskedWhenTheConfirmationIsOld() {
    hear(VERSION, 0, START_MS + 500);
    assertEquals(PollAction.KEEP, schedule.check(POLL, START_MS + 1_449));
    assertEquals(PollAction.PROBE, schedule.check(POLL, START_MS + 1_450));
  }

  /** Guards against an outage that seems to begin when the connection of a poll is given up. */
  @Test
  void overduePollIsAbandonedIfTheStoreHasAnsweredSince() {
    hear(VERSION, 0, START_MS + 9_900);
    final long nowMs = START_MS + 10_300;
    hear(VERSION, 350, nowMs);
    assertEquals(PollAction.KEEP, schedule.check(POLL, nowMs));
    hear(VERSION, 250, nowMs);
    assertEquals(PollAction.ABANDON_OVERDUE, schedule.check(POLL, nowMs));
  }

  /** Guards against an answer that was long under way and is taken for fresh. */
  @Test
  void answerConfirmsTheTimeThatItCertainlyCovers() {
    final long nowMs = START_MS + 14_000;
    hear(VERSION, 30_000, nowMs);
    schedule.recordPage(page(VERSION + 1, VERSION + 1), POLL, nowMs);
    assertEquals(START_MS, schedule.confirmedAtMs());
    schedule.recordPage(page(VERSION + 1), POLL, nowMs);
    assertEquals(START_MS + 10_000, schedule.confirmedAtMs());
    assertEquals(new PeerReading(ERA, VERSION + 1, 4_000), schedule.own(nowMs).orElseThrow());
  }

  /** Guards against polls that are abandoned as another table has changed. */
  @Test
  void readingStatesTheNewestChangeOfTheTable() {
    schedule.recordPage(page(VERSION + 9, VERSION + 2, VERSION + 4), POLL, START_MS + 50);
    assertEquals(VERSION + 4, schedule.own(START_MS).orElseThrow().version());
    schedule.recordPage(page(VERSION + 12), POLL, START_MS + 60);
    assertEquals(VERSION + 4, schedule.own(START_MS).orElseThrow().version());
    schedule.recordPage(page(VERSION + 15, 1), POLL, START_MS + 70);
    assertEquals(VERSION + 15, schedule.own(START_MS).orElseThrow().version(), "not the store's");
  }

  @Test
  void ownReadingDoesNotPassOnConfirmations() {
    hear(VERSION, 0, START_MS + 500);
    assertEquals(500, schedule.own(START_MS + 500).orElseThrow().ageMs());
  }

  /** Guards against an outage that counts from the start of a poll long before it. */
  @Test
  void outageBeginsAfterTheLastConfirmation() {
    hear(VERSION, 20, START_MS + 9_450);
    assertEquals(START_MS + 9_430, schedule.answeredUntilMs(POLL));
  }

  @Test
  void peersConfirmNothingAfterFailureOrRestoration() {
    schedule.recordFailure();
    assertFalse(hear(VERSION, 0, START_MS + 100));
    schedule.recordPage(page(VERSION), POLL, START_MS + 110);
    assertTrue(hear(VERSION, 0, START_MS + 120));
    schedule.recordRestoration();
    assertFalse(hear(VERSION, 0, START_MS + 200));
    assertEquals(Optional.empty(), schedule.own(START_MS + 200));
  }

  /** Guards against reports that have waited in the socket of a process that was held up. */
  @Test
  void reportsAreNotBelievedAfterTheProcessWasHeldUp() {
    final long nowMs = START_MS + 3_000;
    assertFalse(schedule.hear(PEER, new PeerReading(ERA, VERSION, 0), nowMs), "before the tick");
    schedule.tick(nowMs);
    assertFalse(schedule.hear(PEER, new PeerReading(ERA, VERSION, 0), nowMs + 10), "after it");
    tickedMs = nowMs;
    assertEquals(PollAction.ABANDON_PEERS_SILENT, schedule.check(POLL, nowMs + 10));
    assertTrue(hear(VERSION, 0, nowMs + 310));
  }

  /** Guards against a snapshot at the end of every poll at a store that keeps less history. */
  @Test
  void waitsAdaptToTheHistoryOfTheStore() {
    hear(VERSION, 0, START_MS + 8_000);
    schedule.recordHistoryLost(POLL, START_MS + 8_000);
    assertEquals(3_400, schedule.nextWaitMs(START_MS + 8_000));
    schedule.recordPage(page(VERSION), POLL, START_MS + 8_000);
    assertEquals(4_250, schedule.nextWaitMs(START_MS + 8_000));
  }
}
