package org.bulrushweir.soak;

import org.bulrushweir.api.Clock;
import org.bulrushweir.kernel.SystemClock;

/** Tells the time since the start of a soak. */
final class SoakClock implements Clock {

  private final Clock clock = new SystemClock();
  private final long startMs = clock.nowMs();

  @Override
  public long nowMs() {
    return clock.nowMs() - startMs;
  }
}
