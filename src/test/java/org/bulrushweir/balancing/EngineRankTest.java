package org.bulrushweir.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the ranks of prompts at engines. */
class EngineRankTest {

  private static final double[] PREFILLS_MS = {0, 10, 100, 5_000};
  private static final long[] TIMES_LEFT_MS = {-1_000, 0, 1, 500, 100_000};

  /** A less urgent route must not overtake a more urgent one because its prompts are short. */
  @Test
  void configuredRanksAreNeverInverted() {
    for (int configured = 0; configured < 20; configured++) {
      int latest = 0;
      int earliest = 9;
      for (final double prefillMs : PREFILLS_MS) {
        for (final long timeLeftMs : TIMES_LEFT_MS) {
          latest = Math.max(latest, EngineRank.rank(configured, prefillMs, timeLeftMs));
          earliest = Math.min(earliest, EngineRank.rank(configured + 1, prefillMs, timeLeftMs));
        }
      }
      assertTrue(latest <= earliest, "configured " + configured);
      assertTrue(configured > 3 || latest < earliest, "configured " + configured);
    }
  }

  @Test
  void shortPromptGoesBeforeLongOneOfTheSameRank() {
    assertEquals(2, EngineRank.rank(1, 11, 500));
    assertEquals(3, EngineRank.rank(1, 140, 650));
  }
}
