package org.bulrushweir.replay;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.declaration.Declaration;
import org.bulrushweir.declaration.DeclarationLoader;
import org.bulrushweir.trace.TraceGenerator;
import org.bulrushweir.trace.TraceProfile;
import org.bulrushweir.trace.TraceRecord;
import org.bulrushweir.trace.UserProfiles;

/** The traces and fleets of the two users. */
enum ReplayScenarios {
  /** Eight engines in three zones, 1.5 ms apart. */
  UGALDE("ugalde", UserProfiles.ugalde(), 8, 2),
  /** Thirteen engines in three zones, half a millisecond apart. */
  MAGNOLIA("magnolia", UserProfiles.magnolia(), 13, 1);

  private static final int ROUTERS = 4;
  private static final long LIST_LAG_MS = 2_000;
  private static final long REPORT_LAG_MS = 1_000;
  private static final long SEED = 20_261_204;

  private final String file;
  private final TraceProfile profile;
  private final int engines;
  private final long delayMs;

  ReplayScenarios(
      final String file, final TraceProfile profile, final int engines, final long delayMs) {
    this.file = file;
    this.profile = profile;
    this.engines = engines;
    this.delayMs = delayMs;
  }

  TraceProfile profile() {
    return profile;
  }

  int engines() {
    return engines;
  }

  /**
   * Generates the trace of the usual demand.
   *
   * @return the trace
   */
  List<TraceRecord> trace() {
    return TraceGenerator.generate(profile, SEED);
  }

  List<TraceRecord> trace(final TraceProfile changed) {
    return TraceGenerator.generate(changed, SEED);
  }

  /**
   * Adds events to a trace.
   *
   * @param trace the trace
   * @param events the events
   * @return both in order of time
   */
  static List<TraceRecord> with(
      final List<TraceRecord> trace, final List<? extends TraceRecord> events) {
    final List<TraceRecord> all = new ArrayList<>(trace);
    all.addAll(events);
    all.sort(Comparator.comparingLong(TraceRecord::timeMs));
    return all;
  }

  /**
   * Returns the options of the user's fleet.
   *
   * @return the options; half of the callers send back where their last answer came from
   */
  ReplayOptions options() {
    final Declaration declaration;
    try {
      declaration =
          DeclarationLoader.load(file, Files.readString(Path.of("examples", file + ".toml")));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return new ReplayOptions(
        declaration,
        declaration.services().get(new ServiceName("assistant")),
        engines,
        ROUTERS,
        delayMs,
        LIST_LAG_MS,
        REPORT_LAG_MS,
        0.5,
        1,
        ReplayOptions.EngineSpeed.DEFAULT,
        SEED);
  }
}
