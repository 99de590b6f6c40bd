package org.bulrushweir.placement;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests who holds the right to give orders. */
class FenceRowTest {

  private static final long TOKEN = 5;
  private static final long INCARNATION = 2;

  @Test
  void tokenThatRestoredStoreGivesOutAgainDoesNotMakeTheFormerHolderCurrent() {
    final FenceRow row = new FenceRow(TOKEN, INCARNATION);
    assertTrue(row.isHeldBy(TOKEN, INCARNATION));
    assertFalse(row.isHeldBy(TOKEN, INCARNATION - 1));
    assertFalse(row.isHeldBy(TOKEN - 1, INCARNATION));
  }
}
