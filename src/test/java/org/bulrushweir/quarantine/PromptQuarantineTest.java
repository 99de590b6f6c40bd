package org.bulrushweir.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.LongStream;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.balancing.PromptSegment;
import org.junit.jupiter.api.Test;

/** Tests which prompt segments are quarantined, and that gateways agree on them. */
class PromptQuarantineTest {

  private static final long INSTRUCTIONS = 1;
  private static final long CRASHING = 666;
  private static final long SETTLED_MS = 1_000;
  private static final int MAX_QUARANTINED = 64;

  /** The time for which a quarantine lasts after the last crash, in milliseconds. */
  private static final long QUARANTINE_MS = 300_000;

  private static final long LAST_CRASH_MS = 3_000;
  private static final long[] ONE_HISTORY = longHistory(1_000);
  private static final long[] OTHER_HISTORY = longHistory(2_000);

  /** A gateway answers nothing during an update. */
  private static final Duration MAX_UPDATE = Duration.ofSeconds(1);

  private final PromptQuarantine quarantine = new PromptQuarantine();
  private final Random random = new Random(26);
  private long lastSegment = 1_000_000;
  private int runs;

  private List<PromptSegment> prompt(final long... shared) {
    final List<PromptSegment> prompt = new ArrayList<>();
    for (final long segment : shared) {
      prompt.add(new PromptSegment(segment, 500));
    }
    prompt.add(new PromptSegment(lastSegment++, 100));
    return prompt;
  }

  private EndpointRun nextRun() {
    runs++;
    return new EndpointRun(new EndpointId("e" + runs), runs);
  }

  private boolean isQuarantined(final long segment, final long nowMs) {
    return quarantine.findQuarantined(prompt(segment), nowMs).equals(OptionalLong.of(segment));
  }

  private void crash(final long nowMs, final long... shared) {
    quarantine.recordCrash(nextRun(), List.of(prompt(shared)), nowMs);
  }

  @Test
  void segmentOfThreeCrashesWithoutAnswerIsQuarantined() {
    quarantine.recordAnswer(prompt(INSTRUCTIONS), 0);
    crash(1_000, INSTRUCTIONS, CRASHING);
    crash(2_000, INSTRUCTIONS, CRASHING);
    assertEquals(List.of(), quarantine.update(2_000 + SETTLED_MS));
    crash(4_000, INSTRUCTIONS, CRASHING);
    assertEquals(List.of(), quarantine.update(4_000), "peers have not reported yet");
    assertEquals(List.of(CRASHING), quarantine.update(4_000 + SETTLED_MS));
    assertTrue(isQuarantined(CRASHING, 6_000));
    assertFalse(isQuarantined(INSTRUCTIONS, 6_000));
  }

  private static long[] longHistory(final long firstSegment) {
    return LongStream.range(firstSegment, firstSegment + 65).toArray();
  }

  /** Lets engines crash five times under one long prompt, then five times under another one. */
  private void crashUnderTwoLongHistories() {
    for (int number = 1; number <= 5; number++) {
      crash(1_000L * number, ONE_HISTORY);
    }
    assertTimeoutPreemptively(MAX_UPDATE, () -> quarantine.update(6_000));
    for (int number = 6; number <= 10; number++) {
      crash(1_000L * number, OTHER_HISTORY);
    }
    assertTimeoutPreemptively(MAX_UPDATE, () -> quarantine.update(11_000));
  }

  /** Guards against an update that never ends because new segments displace the ones before. */
  @Test
  void promptsWithMoreSegmentsThanAreKeptAreQuarantined() {
    crashUnderTwoLongHistories();
    assertTrue(quarantine.findQuarantined(prompt(ONE_HISTORY), 11_000).isPresent());
    assertTrue(quarantine.findQuarantined(prompt(OTHER_HISTORY), 11_000).isPresent());
    assertEquals(List.of(), quarantine.update(11_200), "the quarantined segments must stay");
    assertTrue(quarantine.size() <= MAX_QUARANTINED);
  }

  /** Guards against two gateways that displace each other's segments by their reports. */
  @Test
  void reportsOfPeersDisplaceNoSegmentInUse() {
    crashUnderTwoLongHistories();
    for (int peer = 0; peer < 4; peer++) {
      final List<SegmentAge> quarantined =
          LongStream.of(longHistory(10_000 + 1_000 * peer))
              .mapToObj(segment -> new SegmentAge(segment, 0))
              .toList();
      quarantine.applyReport(new QuarantineReport(List.of(), List.of(), quarantined), 11_000);
    }
    assertTrue(quarantine.findQuarantined(prompt(ONE_HISTORY), 11_000).isPresent());
    assertTrue(quarantine.findQuarantined(prompt(OTHER_HISTORY), 11_000).isPresent());
    assertTrue(quarantine.size() <= MAX_QUARANTINED);
  }

  @Test
  void fullQuarantineTakesNewSegmentsOnceOldOnesAreOutOfUse() {
    final List<SegmentAge> quarantined =
        LongStream.of(longHistory(10_000)).mapToObj(segment -> new SegmentAge(segment, 0)).toList();
    quarantine.applyReport(new QuarantineReport(List.of(), List.of(), quarantined), 0);
    for (int number = 1; number <= 3; number++) {
      crash(100_000 + 1_000L * number, number, CRASHING);
    }
    assertEquals(List.of(CRASHING), quarantine.update(104_000));
    assertTrue(isQuarantined(CRASHING, 104_000));
    assertTrue(quarantine.size() <= MAX_QUARANTINED);
  }

  /** Guards against a full quarantine that lets engines crash without a word. */
  @Test
  void segmentForWhichThereIsNoRoomIsTold() {
    final List<SegmentAge> reported =
        LongStream.of(longHistory(10_000)).mapToObj(segment -> new SegmentAge(segment, 0)).toList();
    quarantine.applyReport(new QuarantineReport(List.of(), List.of(), reported), 0);
    for (int number = 1; number <= 3; number++) {
      crash(1_000L * number, number, CRASHING);
    }
    assertEquals(List.of(), quarantine.update(4_000));
    assertEquals(Set.of(CRASHING), quarantine.withoutRoom());
    assertFalse(isQuarantined(CRASHING, 4_000));
    assertEquals(List.of(CRASHING), quarantine.update(61_000));
    assertEquals(Set.of(), quarantine.withoutRoom());
  }

  @Test
  void answerClearsSegmentOfSoundRequests() {
    for (int second = 1; second <= 20; second++) {
      crash(1_000L * second, INSTRUCTIONS, 100 + second);
      quarantine.recordAnswer(prompt(INSTRUCTIONS), 1_000L * second + 100);
      assertEquals(List.of(), quarantine.update(1_000L * second + 500));
    }
  }

  @Test
  void enginesThatEndTogetherCountOnce() {
    for (int engine = 0; engine < 8; engine++) {
      crash(1_000 + 10L * engine, INSTRUCTIONS, 100 + engine);
    }
    assertEquals(List.of(), quarantine.update(1_100 + SETTLED_MS));
  }

  /**
   * Many engines end together, again and again, while requests for 300 documents come that were
   * answered before and are not answered meanwhile.
   */
  @Test
  void enginesThatEndForAnotherReasonQuarantineNothing() {
    for (int document = 0; document < 300; document++) {
      quarantine.recordAnswer(prompt(100 + document), document);
    }
    for (int moment = 1; moment <= 6; moment++) {
      final long nowMs = 2_000L * moment;
      crashWithRandomDocuments(13, nowMs);
      quarantine.recordAnswer(prompt(INSTRUCTIONS), nowMs + 300);
      assertEquals(List.of(), quarantine.update(nowMs + SETTLED_MS));
    }
  }

  @Test
  void segmentIsFoundWhileOtherEnginesEndForAnotherReason() {
    final List<Long> found = new ArrayList<>();
    for (int second = 1; second <= 20; second++) {
      final long nowMs = 1_000L * second;
      if (second % 4 == 0) {
        crashWithRandomDocuments(3, nowMs);
      }
      crash(nowMs + 500, INSTRUCTIONS, CRASHING);
      quarantine.recordAnswer(prompt(INSTRUCTIONS), nowMs + 600);
      found.addAll(quarantine.update(nowMs + 950));
    }
    assertEquals(List.of(CRASHING), found);
  }

  private void crashWithRandomDocuments(final int engines, final long nowMs) {
    for (int engine = 0; engine < engines; engine++) {
      final List<List<PromptSegment>> prompts = new ArrayList<>();
      for (int request = 0; request < 5; request++) {
        prompts.add(prompt(INSTRUCTIONS, 100 + random.nextInt(300)));
      }
      quarantine.recordCrash(nextRun(), prompts, nowMs + engine);
    }
  }

  @Test
  void segmentsThatNoAnswerTellsApartWaitForMoreCrashes() {
    for (int number = 1; number <= 4; number++) {
      crash(1_000L * number, INSTRUCTIONS, CRASHING);
    }
    assertEquals(List.of(), quarantine.update(4_000 + SETTLED_MS));
    crash(6_000, 7, CRASHING);
    assertEquals(List.of(CRASHING), quarantine.update(6_000 + SETTLED_MS));
  }

  /** Guards against refused requests that renew the quarantine of sound engines' work for good. */
  @Test
  void quarantineEndsSomeTimeAfterTheLastCrashWhateverIsAsked() {
    for (int number = 1; number <= 3; number++) {
      crash(1_000L * number, number, CRASHING);
    }
    quarantine.update(5_000);
    for (long nowMs = 5_000; nowMs <= LAST_CRASH_MS + QUARANTINE_MS; nowMs += 1_000) {
      assertTrue(isQuarantined(CRASHING, nowMs), "at " + nowMs);
      quarantine.update(nowMs);
    }
    quarantine.update(LAST_CRASH_MS + QUARANTINE_MS + 1);
    assertFalse(isQuarantined(CRASHING, LAST_CRASH_MS + QUARANTINE_MS + 1));
  }

  @Test
  void crashUnderSegmentInQuarantineRenewsIt() {
    for (int number = 1; number <= 3; number++) {
      crash(1_000L * number, number, CRASHING);
    }
    quarantine.update(5_000);
    crash(200_000, INSTRUCTIONS, CRASHING);
    quarantine.update(200_000 + SETTLED_MS);
    quarantine.update(200_000 + QUARANTINE_MS);
    assertTrue(isQuarantined(CRASHING, 200_000 + QUARANTINE_MS));
    quarantine.update(200_001 + QUARANTINE_MS);
    assertFalse(isQuarantined(CRASHING, 200_001 + QUARANTINE_MS));
  }

  /** Guards against gateways that return a quarantine to each other, each time a little younger. */
  @Test
  void slowReportsDoNotProlongTheQuarantine() {
    final long latencyMs = 400;
    final PromptQuarantine peer = new PromptQuarantine();
    for (int number = 1; number <= 3; number++) {
      crash(1_000L * number, number, CRASHING);
    }
    quarantine.update(5_000);
    final long endMs = LAST_CRASH_MS + QUARANTINE_MS + 2 * latencyMs;
    QuarantineReport own = quarantine.report(5_000);
    QuarantineReport peers = peer.report(5_000);
    for (long nowMs = 5_000 + latencyMs; nowMs <= endMs; nowMs += latencyMs) {
      peer.applyReport(own, nowMs);
      quarantine.applyReport(peers, nowMs);
      quarantine.update(nowMs);
      peer.update(nowMs);
      own = quarantine.report(nowMs);
      peers = peer.report(nowMs);
    }
    assertEquals(0, quarantine.size());
    assertEquals(0, peer.size());
  }

  /**
   * Twenty gateways see one crash each, with other requests in flight. Each report is delivered to
   * every other gateway.
   */
  @Test
  void gatewaysThatSeeOneCrashEachAgree() {
    final List<PromptQuarantine> gateways = new ArrayList<>();
    for (int number = 0; number < 20; number++) {
      gateways.add(new PromptQuarantine());
    }
    for (int number = 0; number < 5; number++) {
      final long nowMs = 1_000L * number;
      final EndpointRun run = nextRun();
      gateways.get(number).recordCrash(run, List.of(prompt(INSTRUCTIONS, CRASHING)), nowMs);
      gateways
          .get(number + 5)
          .recordCrash(run, List.of(prompt(INSTRUCTIONS, 100 + number)), nowMs + 5);
      gateways.get(number + 10).recordAnswer(prompt(INSTRUCTIONS, 100 + number), nowMs + 300);
      exchange(gateways, nowMs + 350);
      gateways.forEach(gateway -> gateway.update(nowMs + 900));
    }
    final Set<Long> found = new TreeSet<>();
    for (final PromptQuarantine gateway : gateways) {
      assertEquals(1, gateway.size());
      gateway.report(5_000).quarantined().forEach(quarantined -> found.add(quarantined.segment()));
    }
    assertEquals(Set.of(CRASHING), found);
  }

  @Test
  void gatewayThatStartsLearnsTheQuarantineFromItsPeers() {
    for (int number = 1; number <= 3; number++) {
      crash(1_000L * number, number, CRASHING);
    }
    quarantine.update(5_000);
    final PromptQuarantine restarted = new PromptQuarantine();
    restarted.applyReport(quarantine.report(60_000), 60_000);
    assertTrue(restarted.findQuarantined(prompt(INSTRUCTIONS, CRASHING), 60_000).isPresent());
  }

  @Test
  void answerFromAnyGatewayLiftsTheQuarantine() {
    for (int number = 1; number <= 3; number++) {
      crash(1_000L * number, number, CRASHING);
    }
    quarantine.update(5_000);
    final PromptQuarantine peer = new PromptQuarantine();
    peer.applyReport(quarantine.report(5_000), 5_000);
    peer.recordAnswer(prompt(CRASHING), 5_100);
    quarantine.applyReport(peer.report(5_200), 5_200);
    assertFalse(isQuarantined(CRASHING, 5_200));
  }

  /** All segments of all prompts are different; the engines crash for another reason. */
  @Test
  void reportsStaySmall() {
    for (int number = 0; number < 1_000; number++) {
      final List<List<PromptSegment>> prompts = new ArrayList<>();
      for (int request = 0; request < 200; request++) {
        prompts.add(prompt(1_000L * number + request, 1_000_000L + 1_000L * number + request));
      }
      quarantine.recordCrash(nextRun(), prompts, 1);
    }
    final QuarantineReport report = quarantine.report(2);
    assertTrue(report.crashes().size() <= 8);
    assertTrue(report.crashes().stream().allMatch(crash -> crash.suspects().size() <= 32));
  }

  private static void exchange(final List<PromptQuarantine> gateways, final long nowMs) {
    for (final PromptQuarantine from : gateways) {
      final QuarantineReport report = from.report(nowMs);
      for (final PromptQuarantine to : gateways) {
        if (to != from) {
          to.applyReport(report, nowMs);
        }
      }
    }
  }
}
