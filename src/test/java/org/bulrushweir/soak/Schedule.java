package org.bulrushweir.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/** Draws the steps of a soak from its seed. Phases with some kinds of faults follow each other. */
final class Schedule {

  private static final long FIRST_STEP_MS = 1_000;
  private static final long PHASE_MS = 6_000;
  private static final int MAX_GAP_MS = 700;
  private static final int MAX_SERIES = 4;
  private static final int MAX_LENGTH_MS = 1_500;

  /** The variants of a step; each fault takes those that it has. */
  private static final int VARIANTS = 1_000;

  private static final List<Fault> CHANGES = List.of(Fault.CONFIGURATION, Fault.ENDPOINT_LEAVE);
  private static final List<List<Fault>> PHASES =
      List.of(
          List.of(Fault.ENDPOINT_MODE, Fault.ENDPOINT_CRASH, Fault.ENDPOINT_MODE),
          List.of(Fault.GATEWAY_STOP, Fault.GATEWAY_HANGUP, Fault.ENDPOINT_CRASH),
          List.of(Fault.ENDPOINT_STUTTER, Fault.ENDPOINT_STUTTER, Fault.ENDPOINT_MODE),
          List.of(Fault.ENDPOINT_LINK, Fault.ENDPOINT_LINK, Fault.ENDPOINT_MODE),
          List.of(Fault.STORE_LINK, Fault.STORE_OUTAGE, Fault.STORE_SLOW, Fault.STORE_LOST_ANSWERS),
          List.of(Fault.GATEWAY_KILL, Fault.GATEWAY_PAUSE, Fault.GATEWAY_HANGUP),
          List.of(Fault.values()));

  private final Random random;
  private final SoakOptions options;
  private final List<Step> steps = new ArrayList<>();

  private Schedule(final SoakOptions options) {
    this.options = options;
    this.random = new Random(options.seed());
  }

  /**
   * Draws the steps.
   *
   * @param options the options, with the seed
   * @return the steps in the order of their times
   */
  static List<Step> draw(final SoakOptions options) {
    final Schedule schedule = new Schedule(options);
    for (long atMs = FIRST_STEP_MS; atMs < options.lengthMs(); atMs += PHASE_MS) {
      schedule.drawPhase(atMs, Math.min(atMs + PHASE_MS, options.lengthMs()));
    }
    schedule.steps.sort(Comparator.comparingLong(Step::atMs));
    return List.copyOf(schedule.steps);
  }

  private void drawPhase(final long fromMs, final long toMs) {
    final List<Fault> faults = PHASES.get(random.nextInt(PHASES.size()));
    long atMs = fromMs;
    while (atMs < toMs) {
      final List<Fault> choice = random.nextInt(3) == 0 ? CHANGES : faults;
      final Fault fault = choice.get(random.nextInt(choice.size()));
      final int series = random.nextInt(4) == 0 ? 2 + random.nextInt(MAX_SERIES - 1) : 1;
      for (int count = 0; count < series; count++) {
        add(fault, atMs);
        atMs += random.nextInt(100);
      }
      atMs += random.nextInt(MAX_GAP_MS);
    }
  }

  private void add(final Fault fault, final long atMs) {
    final int target = random.nextInt(1_000);
    final Step step =
        new Step(atMs, fault, target, 50 + random.nextInt(MAX_LENGTH_MS), random.nextInt(VARIANTS));
    if (options.sabotage() == Sabotage.NO_SABOTAGE || CHANGES.contains(fault)) {
      steps.add(step);
    }
  }
}
