package org.bulrushweir.trace;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.bulrushweir.trace.TraceProfile.ClassProfile;
import org.bulrushweir.trace.TraceProfile.Crest;

/** The traffic of the two users. */
public final class UserProfiles {

  /** How long the traces last, in milliseconds. */
  private static final long DURATION_MS = 180_000;

  private UserProfiles() {}

  /**
   * Describes Ugalde: spec reviews, order drafts, chat replies.
   *
   * @return the profile, without a swing of demand
   */
  public static TraceProfile ugalde() {
    return new TraceProfile(
        names("dispatch", "packers"),
        0.6,
        2,
        DURATION_MS,
        3.2,
        5,
        12_000,
        List.of(
            new ClassProfile("quick", 0.65, 400, 60, 40),
            new ClassProfile("draft", 0.25, 900, 120, 140),
            new ClassProfile("review", 0.10, 3_500, 300, 450)),
        0.01,
        8,
        Crest.NONE);
  }

  /**
   * Describes Magnolia: kit histories, compatibility questions, pickup notes.
   *
   * @return the profile, without a swing of demand
   */
  public static TraceProfile magnolia() {
    return new TraceProfile(
        names("atlanta", "new-orleans", "on-set"),
        0.7,
        3,
        DURATION_MS,
        6,
        6,
        9_000,
        List.of(
            new ClassProfile("quick", 0.70, 300, 40, 25),
            new ClassProfile("draft", 0.22, 800, 90, 110),
            new ClassProfile("review", 0.08, 5_000, 250, 500)),
        0.01,
        8,
        Crest.NONE);
  }

  private static List<String> names(final String... large) {
    return Stream.concat(
            Stream.of(large),
            IntStream.rangeClosed(large.length + 1, 10).mapToObj(number -> "org-" + number))
        .toList();
  }
}
