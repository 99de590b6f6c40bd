package org.bulrushweir.trace;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.bulrushweir.trace.TraceProfile.ClassProfile;

/** Generates traces from profiles; the same seed gives the same trace. */
public final class TraceGenerator {

  /** How far sizes spread around their medians, as the standard deviation of their logarithms. */
  private static final double SIZE_SPREAD = 0.5;

  /** How far pauses spread around their medians, as the standard deviation of their logarithms. */
  private static final double PAUSE_SPREAD = 0.8;

  /** How long the reading of a prompt token usually takes, in milliseconds. */
  private static final double USUAL_PROMPT_TOKEN_MS = 0.2;

  /** How long the generation of a token usually takes, in milliseconds. */
  private static final double USUAL_OUTPUT_TOKEN_MS = 30;

  /** How many milliseconds a second has. */
  private static final double MILLISECONDS_PER_SECOND = 1_000;

  /** The traffic. */
  private final TraceProfile profile;

  /** Decides everything that is random. */
  private final SplittableRandom random;

  /** The requests so far. */
  private final List<TraceRecord> records = new ArrayList<>();

  private TraceGenerator(final TraceProfile profile, final long seed) {
    this.profile = profile;
    this.random = new SplittableRandom(seed);
  }

  /**
   * Generates a trace.
   *
   * @param profile the traffic
   * @param seed decides everything that is random
   * @return the requests in order of time
   */
  public static List<TraceRecord> generate(final TraceProfile profile, final long seed) {
    return new TraceGenerator(profile, seed).run();
  }

  private List<TraceRecord> run() {
    double timeMs = 0;
    while (timeMs < profile.durationMs()) {
      final double rate = profile.chatsPerSecond() * profile.crest().factorAt((long) timeMs);
      timeMs += random.nextExponential() * MILLISECONDS_PER_SECOND / rate;
      addChat((long) timeMs);
    }
    records.removeIf(it -> it.timeMs() >= profile.durationMs());
    records.sort(Comparator.comparingLong(TraceRecord::timeMs));
    return records;
  }

  private void addChat(final long startMs) {
    final String organisation = organisation();
    final ClassProfile workClass = workClass();
    final String chat = Long.toHexString(random.nextLong() | 1);
    int promptTokens = around(workClass.firstPromptTokens());
    long timeMs = startMs;
    boolean again = true;
    while (again && timeMs < profile.durationMs()) {
      final int outputTokens = outputTokens(workClass);
      records.add(
          new TraceRecord.ChatRequested(
              timeMs, organisation, workClass.name(), chat, promptTokens, outputTokens));
      timeMs += readingMs(promptTokens, outputTokens) + pauseMs();
      promptTokens += outputTokens + around(workClass.turnTokens());
      again = random.nextDouble() > 1 / profile.turnsPerChat();
    }
  }

  /** Estimates how long an answer takes, during which a caller does not ask again. */
  private static long readingMs(final int promptTokens, final int outputTokens) {
    return Math.round(promptTokens * USUAL_PROMPT_TOKEN_MS + outputTokens * USUAL_OUTPUT_TOKEN_MS);
  }

  private String organisation() {
    final int large = profile.largeOrganisations();
    final int all = profile.organisations().size();
    final int index =
        random.nextDouble() < profile.largeShare()
            ? random.nextInt(large)
            : large + random.nextInt(all - large);
    return profile.organisations().get(index);
  }

  private ClassProfile workClass() {
    double draw = random.nextDouble();
    for (final ClassProfile candidate : profile.classes()) {
      draw -= candidate.share();
      if (draw < 0) {
        return candidate;
      }
    }
    return profile.classes().getLast();
  }

  private int outputTokens(final ClassProfile workClass) {
    final int usual = around(workClass.outputTokens());
    return random.nextDouble() < profile.stragglerShare()
        ? (int) (usual * profile.stragglerFactor())
        : usual;
  }

  private int around(final int median) {
    return Math.max(1, (int) (median * Math.exp(SIZE_SPREAD * random.nextGaussian())));
  }

  private long pauseMs() {
    return (long) (profile.pauseMs() * Math.exp(PAUSE_SPREAD * random.nextGaussian()));
  }
}
