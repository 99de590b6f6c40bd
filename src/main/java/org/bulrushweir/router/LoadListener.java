package org.bulrushweir.router;

import org.bulrushweir.wire.generated.LoadHint;

/** Hears of the loads that sidecars tell. */
interface LoadListener {

  /**
   * Hears of a load.
   *
   * @param hint the load
   */
  void loadSeen(LoadHint hint);
}
