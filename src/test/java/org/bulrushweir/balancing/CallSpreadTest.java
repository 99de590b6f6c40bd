package org.bulrushweir.balancing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares how calls are spread over endpoints that are slow at times. */
class CallSpreadTest {

  private static final int ENDPOINTS = 9;
  private static final long DURATION_MS = 60_000;
  private static final long WINDOW_MS = 200;
  private static final long TARGET_MS = 190;

  /** Independent random arrivals have 1. */
  private static final double MAX_SWING = 1.4;

  /** The endpoints in the gateways' zone, where zones differ. */
  private static final int LOCAL = 3;

  private static SimulatedCalls noisy(
      final SimulatedCalls.Rule rule, final int gateways, final double callsPerMs) {
    final SlowMachines machines =
        new SlowMachines(ENDPOINTS, DURATION_MS, 0.1, new SplittableRandom(1));
    final SimulatedCalls calls =
        new SimulatedCalls(rule, gateways, ENDPOINTS, machines::pace, true, DURATION_MS, WINDOW_MS);
    calls.play(callsPerMs, DURATION_MS);
    return calls;
  }

  private static SimulatedCalls oneSlow(
      final SimulatedCalls.Rule rule, final int gateways, final boolean states) {
    final SimulatedCalls calls =
        new SimulatedCalls(
            rule,
            gateways,
            ENDPOINTS,
            (endpoint, nowMs) -> endpoint == 0 && nowMs >= 30_000 && nowMs < 45_000 ? 2.5 : 1,
            states,
            DURATION_MS,
            WINDOW_MS);
    calls.play(0.14, DURATION_MS);
    return calls;
  }

  /**
   * Endpoints are slow at random. With the rule of today, gateways that learn of each other's calls
   * late choose the same endpoints, and stay at slow ones.
   */
  @ParameterizedTest
  @ValueSource(ints = {3, 12, 30})
  void callsMeetTheirTargetsDespiteSlowMachines(final int gateways) {
    for (final double callsPerMs : new double[] {0.1, 0.17}) {
      final SimulatedCalls today = noisy(SimulatedCalls.Rule.TODAY, gateways, callsPerMs);
      final SimulatedCalls random = noisy(SimulatedCalls.Rule.TWO_CHOICES, gateways, callsPerMs);
      final SimulatedCalls stated = noisy(SimulatedCalls.Rule.STATED, gateways, callsPerMs);
      System.out.printf(
          "calls: %d gateways, %.2f per ms, within %d ms: today %.4f, two choices %.4f, stated"
              + " %.4f; mean %.1f %.1f %.1f; p99 %d %d %d%n",
          gateways,
          callsPerMs,
          TARGET_MS,
          today.within(TARGET_MS),
          random.within(TARGET_MS),
          stated.within(TARGET_MS),
          today.meanMs(),
          random.meanMs(),
          stated.meanMs(),
          today.percentileMs(0.99),
          random.percentileMs(0.99),
          stated.percentileMs(0.99));
      assertTrue(stated.within(TARGET_MS) > today.within(TARGET_MS) + 0.01);
      assertTrue(stated.within(TARGET_MS) > random.within(TARGET_MS) - 0.01);
      assertTrue(stated.meanMs() < random.meanMs());
    }
  }

  /**
   * One endpoint is slow for 15 s. Its share must fall and return, without all gateways choosing it
   * or leaving it at once.
   */
  @ParameterizedTest
  @ValueSource(ints = {3, 12, 30})
  void shareOfSlowEndpointFallsAndReturnsWithoutSwinging(final int gateways) {
    for (final boolean states : new boolean[] {true, false}) {
      final SimulatedCalls today = oneSlow(SimulatedCalls.Rule.TODAY, gateways, states);
      final SimulatedCalls stated = oneSlow(SimulatedCalls.Rule.STATED, gateways, states);
      System.out.printf(
          "slow: %d gateways, states its load: %s; share before, while and after: today %.3f %.3f"
              + " %.3f, stated %.3f %.3f %.3f; swing while and after: today %.2f %.2f,"
              + " stated %.2f %.2f%n",
          gateways,
          states,
          today.share(0, 0, 20_000),
          today.share(0, 21_000, 35_000),
          today.share(0, 36_000, 60_000),
          stated.share(0, 0, 20_000),
          stated.share(0, 21_000, 35_000),
          stated.share(0, 36_000, 60_000),
          today.swing(0, 21_000, 35_000),
          today.swing(0, 35_000, 60_000),
          stated.swing(0, 21_000, 35_000),
          stated.swing(0, 35_000, 60_000));
      final double fair = 1.0 / ENDPOINTS;
      assertTrue(stated.share(0, 21_000, 35_000) < 0.75 * fair);
      assertTrue(stated.share(0, 36_000, 60_000) > 0.9 * fair);
      assertTrue(stated.swing(0, 21_000, 35_000) < MAX_SWING);
      assertTrue(stated.swing(0, 35_000, 60_000) < MAX_SWING);
    }
  }

  private static SimulatedCalls twoZones(
      final SimulatedCalls.Rule rule, final int gateways, final double callsPerMs) {
    final SimulatedCalls calls =
        new SimulatedCalls(
            rule,
            gateways,
            ENDPOINTS,
            (endpoint, nowMs) -> endpoint < LOCAL && nowMs >= 30_000 && nowMs < 45_000 ? 2.5 : 1,
            true,
            DURATION_MS,
            WINDOW_MS);
    calls.keepLocal(LOCAL);
    calls.play(callsPerMs, DURATION_MS);
    return calls;
  }

  private static double localShare(
      final SimulatedCalls calls, final long fromMs, final long untilMs) {
    double sum = 0;
    for (int endpoint = 0; endpoint < LOCAL; endpoint++) {
      sum += calls.share(endpoint, fromMs, untilMs);
    }
    return sum;
  }

  /**
   * The endpoints of the gateways' zone become slow for 15 s, or are too few. Calls must go to the
   * other zone then, and only then.
   */
  @ParameterizedTest
  @ValueSource(ints = {3, 12, 30})
  void callsSpillOverToAnotherZoneAndReturn(final int gateways) {
    for (final double callsPerMs : new double[] {0.03, 0.14}) {
      final SimulatedCalls today = twoZones(SimulatedCalls.Rule.TODAY, gateways, callsPerMs);
      final SimulatedCalls stated = twoZones(SimulatedCalls.Rule.STATED, gateways, callsPerMs);
      System.out.printf(
          "zones: %d gateways, %.2f per ms; local share before, while and after: today %.3f %.3f"
              + " %.3f, stated %.3f %.3f %.3f; mean %.1f %.1f; within %d ms %.4f %.4f%n",
          gateways,
          callsPerMs,
          localShare(today, 0, 20_000),
          localShare(today, 21_000, 35_000),
          localShare(today, 36_000, 60_000),
          localShare(stated, 0, 20_000),
          localShare(stated, 21_000, 35_000),
          localShare(stated, 36_000, 60_000),
          today.meanMs(),
          stated.meanMs(),
          TARGET_MS,
          today.within(TARGET_MS),
          stated.within(TARGET_MS));
      final double before = localShare(stated, 0, 20_000);
      assertTrue(before > (callsPerMs < 0.1 ? 0.9 : 0.4));
      assertTrue(localShare(stated, 21_000, 35_000) < before - 0.2);
      assertTrue(localShare(stated, 36_000, 60_000) > before - 0.05);
      assertTrue(stated.within(TARGET_MS) > today.within(TARGET_MS) + 0.005);
      assertTrue(stated.meanMs() < today.meanMs());
    }
  }
}
