package org.bulrushweir.coldstart;

import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Tests that shares stay within the bound although views of the fleet differ. */
class ShareRuleTest {

  private static final String SEED = "43";

  /**
   * Every view lacks the same number of running gateways, all of which rank before its own. Guards
   * against a share that is an equal part of the bound without headroom.
   */
  @Property(tries = 2_000, seed = SEED)
  void sharesOfIncompleteViewsStayWithinTheBound(
      @ForAll @IntRange(min = 1, max = 400) final int gateways,
      @ForAll @IntRange(min = 4, max = 200) final int bound,
      @ForAll @IntRange(min = 0, max = 6) final int missing) {
    final int known = gateways - missing;
    if (known < 1 || missing > Math.min(bound / 4, 1 + known / 6)) {
      return;
    }
    int sum = 0;
    for (int rank = 0; rank < gateways; rank++) {
      sum += ShareRule.share(bound, known, Math.max(0, rank - missing));
    }
    assertTrue(sum <= bound, gateways + " gateways may send " + sum + " of " + bound);
  }
}
