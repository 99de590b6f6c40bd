package org.bulrushweir.replay;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import org.bulrushweir.trace.TraceGenerator;
import org.bulrushweir.trace.TraceProfile;
import org.bulrushweir.trace.TraceRecord;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Holds the fleet's decisions to the targets of the brief's measures. */
@Execution(ExecutionMode.CONCURRENT)
class ReplayTargetTest {

  private static final double REUSE_TARGET = 0.95;
  private static final double LOST_TARGET = 1.3;
  private static final double LOST_AFTER_EXPORT_TARGET = 0.2;
  private static final double IN_TIME_TARGET = 0.99;
  private static final double GOODPUT_TARGET = 0.95;
  private static final long REFUSAL_TARGET_MS = 100;
  private static final double BYSTANDER_TARGET = 1.2;
  private static final double AMPLIFICATION_TARGET = 1.1;
  private static final double SHORT_WORK_TARGET = 1.5;
  private static final double TAIL_TARGET = 1.5;
  private static final double HEDGE_WASTE_TARGET = 0.05;
  private static final long LEAVE_MS = 90_000;
  private static final long CREST_START_MS = 60_000;
  private static final long CREST_MS = 30_000;
  private static final double CREST_FACTOR = 5;
  private static final double OVERLOAD_FACTOR = 2;
  private static final double SURGE_FACTOR = 5;
  private static final long SURGE_SEEDS = 12;
  private static final long SURGE_SEED_OFFSET = 100;
  private static final long MAXIMUM_MS = 3_600_000;
  private static final int DIGITS = 3;
  private static final long RAMP_MS = 5_000;
  private static final long CHURN_EVERY_MS = 30_000;
  private static final long CHURN_GAP_MS = 5_000;
  private static final double SLOW_FACTOR = 5;
  private static final long SLOW_EVERY_MS = 20_000;
  private static final long SLOW_MS = 4_000;

  private static ReplayResult run(
      final ReplayScenarios scenario, final List<? extends TraceRecord> trace) {
    return Replay.run(List.copyOf(trace), scenario.options(), new FleetPolicy());
  }

  @ParameterizedTest
  @EnumSource
  void cachesAreReused(final ReplayScenarios scenario) {
    final double reuse = run(scenario, scenario.trace()).reuse();
    System.out.printf("%s: reuse %.3f%n", scenario, reuse);
    assertTrue(reuse >= REUSE_TARGET, () -> "reuse " + reuse);
  }

  @ParameterizedTest
  @EnumSource
  void fewChatsLoseTheirCachesWhenAnEngineDies(final ReplayScenarios scenario) {
    final double lost = lostShareAfterLeave(scenario, false);
    System.out.printf("%s: lost after death %.2f / N%n", scenario, lost * scenario.engines());
    assertTrue(lost <= LOST_TARGET / scenario.engines(), () -> "lost " + lost);
  }

  @ParameterizedTest
  @EnumSource
  void hardlyAnyChatLosesItsCacheWhenAnEngineLeavesAsPlanned(final ReplayScenarios scenario) {
    final double lost = lostShareAfterLeave(scenario, true);
    System.out.printf("%s: lost after leave %.2f / N%n", scenario, lost * scenario.engines());
    assertTrue(lost <= LOST_AFTER_EXPORT_TARGET / scenario.engines(), () -> "lost " + lost);
  }

  /** Computes which share of the chats that return after a leave have lost their caches by it. */
  private static double lostShareAfterLeave(final ReplayScenarios scenario, final boolean planned) {
    final ReplayResult undisturbed = run(scenario, scenario.trace());
    final ReplayResult result =
        run(
            scenario,
            ReplayScenarios.with(
                scenario.trace(),
                List.of(new TraceRecord.EndpointLeft(LEAVE_MS, "engine-3", planned))));
    final Set<Long> returned = new TreeSet<>();
    for (final PromptSample sample : result.prompts()) {
      if (sample.timeMs() >= LEAVE_MS && sample.cacheableTokens() > 0) {
        returned.add(sample.chat());
      }
    }
    final Set<Long> lost = lostChats(result);
    lost.removeAll(lostChats(undisturbed));
    return lost.size() / (double) returned.size();
  }

  private static Set<Long> lostChats(final ReplayResult result) {
    return result.prompts().stream()
        .filter(sample -> sample.timeMs() >= LEAVE_MS && sample.isLost())
        .map(PromptSample::chat)
        .collect(Collectors.toCollection(TreeSet::new));
  }

  @ParameterizedTest
  @EnumSource
  void loadsStayWithinTheMultipleAndOneRequest(final ReplayScenarios scenario) {
    final ReplayResult usual = run(scenario, scenario.trace());
    final ReplayResult crest = run(scenario, crestTrace(scenario));
    final double multiple = scenario.options().service().loadMultiple();
    final double greatest = Math.max(greatestSkew(usual), greatestSkew(crest));
    System.out.printf("%s: load less one request %.2f times the mean%n", scenario, greatest);
    assertTrue(greatest <= multiple, () -> "skew " + greatest);
  }

  private static double greatestSkew(final ReplayResult result) {
    return result.samples().stream().mapToDouble(LoadSample::skewLessOneAttempt).max().orElse(0);
  }

  private static List<TraceRecord> crestTrace(final ReplayScenarios scenario) {
    return scenario.trace(
        scenario
            .profile()
            .withCrest(new TraceProfile.Crest(CREST_START_MS, CREST_MS, CREST_FACTOR)));
  }

  @ParameterizedTest
  @EnumSource
  void serviceHoldsAtTheCrest(final ReplayScenarios scenario) {
    final ReplayResult result = run(scenario, crestTrace(scenario));
    final double inTime = 1 - result.late() / (double) result.ran();
    final long refusalMs = result.refusalTime().getValueAtPercentile(99);
    System.out.printf(
        "%s: at the crest %.4f in time, %d of %d refused, told within %d ms, %d unknown,"
            + " %.3f attempts a request%n",
        scenario,
        inTime,
        result.notRun(),
        result.requests(),
        refusalMs,
        result.unknown(),
        result.amplification());
    assertAll(
        () -> assertTrue(inTime >= IN_TIME_TARGET, () -> "in time " + inTime),
        () -> assertTrue(refusalMs <= REFUSAL_TARGET_MS, () -> "told after " + refusalMs),
        () ->
            assertTrue(
                result.amplification() <= AMPLIFICATION_TARGET,
                () -> "amplification " + result.amplification()));
  }

  @ParameterizedTest
  @EnumSource
  void capacityIsUsedUnderOverload(final ReplayScenarios scenario) {
    final TraceProfile profile = scenario.profile();
    final TraceProfile overload =
        profile
            .withChatsPerSecond(OVERLOAD_FACTOR * profile.chatsPerSecond())
            .withCrest(new TraceProfile.Crest(CREST_START_MS, CREST_MS, CREST_FACTOR));
    final ReplayResult result = run(scenario, scenario.trace(overload));
    final long startMs = CREST_START_MS + RAMP_MS;
    final long endMs = CREST_START_MS + CREST_MS;
    final long slots = (long) scenario.options().service().slots() * scenario.engines();
    final double goodput =
        result.usefulSlotMs(startMs, endMs) / (double) (slots * (endMs - startMs));
    final double inTime = 1 - result.late() / (double) result.ran();
    final long refusalMs = result.refusalTime().getValueAtPercentile(99);
    System.out.printf(
        "%s: overloaded: goodput %.3f of capacity, %.4f in time, %d of %d refused, told within"
            + " %d ms, %d unknown, %.3f attempts a request%n",
        scenario,
        goodput,
        inTime,
        result.notRun(),
        result.requests(),
        refusalMs,
        result.unknown(),
        result.amplification());
    assertAll(
        () -> assertTrue(goodput >= GOODPUT_TARGET, () -> "goodput " + goodput),
        () -> assertTrue(inTime >= IN_TIME_TARGET, () -> "in time " + inTime),
        () -> assertTrue(refusalMs <= REFUSAL_TARGET_MS, () -> "told after " + refusalMs),
        () ->
            assertTrue(
                result.amplification() <= AMPLIFICATION_TARGET,
                () -> "amplification " + result.amplification()));
  }

  @ParameterizedTest
  @EnumSource
  void surgeOfOneOrganisationLeavesTheOthersAlone(final ReplayScenarios scenario) {
    final String surging = scenario.profile().organisations().getFirst();
    final TraceProfile alone =
        scenario
            .profile()
            .withChatsPerSecond(SURGE_FACTOR * scenario.profile().chatsPerSecond())
            .withOrganisations(List.of(surging, surging), 1, 1);
    final Histogram calm = new Histogram(MAXIMUM_MS, DIGITS);
    final Histogram surged = new Histogram(MAXIMUM_MS, DIGITS);
    for (long seed = 1; seed <= SURGE_SEEDS; seed++) {
      final List<TraceRecord> usual = TraceGenerator.generate(scenario.profile(), seed);
      final List<TraceRecord> surge =
          TraceGenerator.generate(alone, SURGE_SEED_OFFSET + seed).stream()
              .filter(
                  entry ->
                      entry.timeMs() >= CREST_START_MS
                          && entry.timeMs() < CREST_START_MS + CREST_MS)
              .toList();
      calm.add(bystanderFirstToken(run(scenario, usual), surging));
      surged.add(bystanderFirstToken(run(scenario, ReplayScenarios.with(usual, surge)), surging));
    }
    final double calmMs = calm.getValueAtPercentile(95);
    final double surgedMs = surged.getValueAtPercentile(95);
    System.out.printf(
        "%s: p95 first token of the others %.0f ms, %.0f ms while %s surges%n",
        scenario, calmMs, surgedMs, surging);
    assertTrue(surgedMs <= BYSTANDER_TARGET * calmMs, () -> surgedMs + " against " + calmMs);
  }

  private static Histogram bystanderFirstToken(final ReplayResult result, final String surging) {
    final Map<String, Histogram> others = new TreeMap<>(result.firstTokenByOrganisation());
    others.remove(surging);
    return ReplayResult.merged(others);
  }

  @ParameterizedTest
  @EnumSource
  void cachesAreReusedWhileEnginesChurn(final ReplayScenarios scenario) {
    final List<TraceRecord> churn = new ArrayList<>();
    int number = 1;
    for (long timeMs = CHURN_EVERY_MS;
        timeMs < scenario.profile().durationMs();
        timeMs += CHURN_EVERY_MS) {
      churn.add(new TraceRecord.EndpointLeft(timeMs, "engine-" + number, true));
      churn.add(
          new TraceRecord.EndpointJoined(
              timeMs + CHURN_GAP_MS, "engine-" + (scenario.engines() + number)));
      number++;
    }
    final ReplayResult result = run(scenario, ReplayScenarios.with(scenario.trace(), churn));
    System.out.printf(
        "%s: reuse %.3f while %d engines are replaced%n",
        scenario, result.reuse(), churn.size() / 2);
    assertTrue(result.reuse() >= REUSE_TARGET, () -> "reuse " + result.reuse());
  }

  @ParameterizedTest
  @EnumSource
  void shortWorkIsNotHeldUpByLongWork(final ReplayScenarios scenario) {
    final List<TraceRecord> all = scenario.trace();
    final List<TraceRecord> shortOnly =
        all.stream()
            .filter(
                entry ->
                    entry instanceof TraceRecord.ChatRequested chat
                        && chat.workClass().equals("quick"))
            .toList();
    final long with = quickFirstToken(run(scenario, all));
    final long without = quickFirstToken(run(scenario, shortOnly));
    System.out.printf(
        "%s: short work's p99 first token %d ms, %d ms without long work%n",
        scenario, with, without);
    assertTrue(with <= SHORT_WORK_TARGET * without, () -> with + " against " + without);
  }

  private static long quickFirstToken(final ReplayResult result) {
    return result.firstToken().get("quick").getValueAtPercentile(99);
  }

  @ParameterizedTest
  @EnumSource
  void slowEnginesHardlyLengthenTheTail(final ReplayScenarios scenario) {
    final ReplayResult usual = run(scenario, scenario.trace());
    final ReplayResult slowed =
        run(scenario, ReplayScenarios.with(scenario.trace(), slowdowns(scenario)));
    final long usualTail = tail(usual);
    final long slowedTail = tail(slowed);
    System.out.printf(
        "%s: p99 of answers %d ms, %d ms while engines are slowed; first tokens %d and %d ms;"
            + " work for nothing %.3f%n",
        scenario,
        usualTail,
        slowedTail,
        firstTokenTail(usual),
        firstTokenTail(slowed),
        slowed.waste());
    assertAll(
        () -> assertTrue(slowedTail <= TAIL_TARGET * usualTail, () -> "tail " + slowedTail),
        () ->
            assertTrue(
                firstTokenTail(slowed) <= TAIL_TARGET * firstTokenTail(usual),
                () -> "first token " + firstTokenTail(slowed)),
        () -> assertTrue(slowed.waste() <= HEDGE_WASTE_TARGET, () -> "waste " + slowed.waste()));
  }

  private static long tail(final ReplayResult result) {
    return ReplayResult.merged(result.duration()).getValueAtPercentile(99);
  }

  private static long firstTokenTail(final ReplayResult result) {
    final Histogram all = ReplayResult.merged(result.firstToken());
    return all.getValueAtPercentile(99);
  }

  /** Slows a tenth of the engines, one at least, for a while, another one each time. */
  private static List<TraceRecord> slowdowns(final ReplayScenarios scenario) {
    final List<TraceRecord> events = new ArrayList<>();
    int number = 0;
    for (long timeMs = SLOW_EVERY_MS;
        timeMs + SLOW_MS < scenario.profile().durationMs();
        timeMs += SLOW_EVERY_MS) {
      number = number % scenario.engines() + 1;
      final String engine = "engine-" + number;
      events.add(new TraceRecord.EndpointSlowed(timeMs, engine, SLOW_FACTOR));
      events.add(new TraceRecord.EndpointSlowed(timeMs + SLOW_MS, engine, 1));
    }
    return events;
  }
}
