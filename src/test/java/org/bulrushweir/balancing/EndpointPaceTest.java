package org.bulrushweir.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays machines that are slowed down for 0.6 s at a time, some for seconds, and compares the
 * pace that a gateway expects with the actual one.
 */
class EndpointPaceTest {

  private static final int MACHINES = 60;
  private static final long DURATION_MS = 200_000;
  private static final int AGE_STEP_MS = 200;
  private static final int AGE_STEPS = 20;

  /** The responses of a machine to all gateways together, per millisecond. */
  private static final double RESPONSES_PER_MS = 0.012;

  /** The instants from which a mean error is meaningful. */
  private static final long MIN_COUNT = 5_000;

  /** A pace that is neither better nor worse than ignoring it, as a difference of the errors. */
  private static final double TOLERANCE = 0.01;

  /** Sums of squared errors by the age of the last statement. */
  private static final class Errors {
    private final double[] decayed = new double[AGE_STEPS];
    private final double[] kept = new double[AGE_STEPS];
    private final double[] ignored = new double[AGE_STEPS];
    private final long[] count = new long[AGE_STEPS];

    double total(final double[] errors) {
      double sum = 0;
      long all = 0;
      for (int step = 0; step < AGE_STEPS; step++) {
        sum += errors[step];
        all += count[step];
      }
      return sum / all;
    }
  }

  private static Errors replay(final int gateways, final double longShare) {
    final SplittableRandom random = new SplittableRandom(gateways);
    final SlowMachines machines = new SlowMachines(MACHINES, DURATION_MS, longShare, random);
    final Errors errors = new Errors();
    for (int machine = 0; machine < MACHINES; machine++) {
      final EndpointPace pace = new EndpointPace();
      double stated = 1;
      long statedAtMs = 0;
      for (long nowMs = 1; nowMs < DURATION_MS; nowMs += 10) {
        final double actual = machines.pace(machine, nowMs);
        final int age = (int) ((nowMs - statedAtMs) / AGE_STEP_MS);
        if (statedAtMs > 0 && age < AGE_STEPS) {
          errors.count[age]++;
          errors.decayed[age] += Math.pow(pace.at(nowMs) - actual, 2);
          errors.kept[age] += Math.pow(stated - actual, 2);
          errors.ignored[age] += Math.pow(1 - actual, 2);
        }
        if (random.nextDouble() < 10 * RESPONSES_PER_MS / gateways) {
          pace.recordStated(actual, nowMs);
          stated = actual;
          statedAtMs = nowMs;
        }
      }
    }
    return errors;
  }

  /** A pace that is believed for too long sends requests away from machines that have recovered. */
  @ParameterizedTest
  @ValueSource(ints = {3, 12, 30})
  void statedPaceIsNeverWorseThanIgnoringIt(final int gateways) {
    for (final double longShare : new double[] {0, 0.1}) {
      final Errors errors = replay(gateways, longShare);
      for (int age = 0; age < AGE_STEPS; age++) {
        if (errors.count[age] >= MIN_COUNT) {
          final double decayed = errors.decayed[age] / errors.count[age];
          final double ignored = errors.ignored[age] / errors.count[age];
          assertTrue(decayed <= ignored + TOLERANCE, "age step " + age + ": " + decayed);
        }
      }
      System.out.printf(
          "pace: %d gateways, long %.1f: squared error decayed %.3f kept %.3f ignored %.3f%n",
          gateways,
          longShare,
          errors.total(errors.decayed),
          errors.total(errors.kept),
          errors.total(errors.ignored));
      assertTrue(errors.total(errors.decayed) < errors.total(errors.ignored));
      assertTrue(errors.total(errors.decayed) < errors.total(errors.kept));
    }
  }

  /** A slowdown that lasts seconds is believed for longer, and every one is forgotten. */
  @Test
  void longSlowdownIsBelievedLongerThanShortOne() {
    final EndpointPace pace = new EndpointPace();
    pace.recordStated(2.5, 1_000);
    assertEquals(1, pace.at(1_700));
    for (long nowMs = 1_000; nowMs <= 2_500; nowMs += 300) {
      pace.recordStated(2.5, nowMs);
    }
    assertTrue(pace.at(3_200) > 1.5);
    assertEquals(1, pace.at(5_600));
  }

  /** An endpoint that states nothing is judged by its own times until it states its pace. */
  @Test
  void measuredTimesCountOnlyWithoutStatedPace() {
    final EndpointPace pace = new EndpointPace();
    for (int call = 0; call < 5; call++) {
      pace.recordMeasured(2.5, 1_000);
    }
    assertTrue(pace.at(1_000) > EndpointPace.SLOW);
    pace.recordStated(1, 1_100);
    pace.recordMeasured(2.5, 1_200);
    assertEquals(1, pace.at(1_200));
  }
}
