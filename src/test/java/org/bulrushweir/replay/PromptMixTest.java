package org.bulrushweir.replay;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Compares how long and short prompts meet their targets together, before and after. */
class PromptMixTest {

  private static final long DURATION_MS = 20_000;
  private static final int SEEDS = 6;
  private static final int ENGINES = 12;
  private static final int GATEWAYS = 12;
  private static final int DOCUMENTS = 150;
  private static final long LONG_TARGET_MS = 650;
  private static final long SHORT_TARGET_MS = 500;

  /** The means of several replays. */
  private record Means(double longMet, double shortMet, double cached) {}

  private static Means means(final PromptMix.Load load, final boolean stated) {
    double longMet = 0;
    double shortMet = 0;
    double cached = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      final PromptMix mix = new PromptMix(load, stated, seed).play(DURATION_MS);
      longMet += mix.longShare() / SEEDS;
      shortMet += mix.shortShare() / SEEDS;
      cached += mix.cachedShare() / SEEDS;
    }
    return new Means(longMet, shortMet, cached);
  }

  /**
   * Long prompts occupy the engines that short ones go to as well. Without ranks at the engines and
   * costs that follow them, short prompts wait behind several long ones.
   */
  @ParameterizedTest
  @CsvSource({"38, 1.0", "38, 1.4", "66, 1.8", "94, 2.2"})
  void shortPromptsMeetTheirTargetsBesideLongOnes(final double speed, final double factor) {
    final PromptMix.Load load =
        new PromptMix.Load(
            ENGINES,
            GATEWAYS,
            speed,
            0.04 * factor,
            0.08 * factor,
            DOCUMENTS,
            LONG_TARGET_MS,
            SHORT_TARGET_MS);
    final Means before = means(load, false);
    final Means after = means(load, true);
    System.out.printf(
        "prompts: %.0f tokens per ms, load %.1f: long %.4f to %.4f, short %.4f to %.4f, cached"
            + " %.4f to %.4f%n",
        speed,
        factor,
        before.longMet,
        after.longMet,
        before.shortMet,
        after.shortMet,
        before.cached,
        after.cached);
    assertTrue(after.shortMet > before.shortMet + 0.3 * (1 - before.shortMet));
    assertTrue(after.longMet > before.longMet);
    assertTrue(after.cached > before.cached - 0.015);
  }
}
