package org.bulrushweir.kernel;

import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.Clock;

/** Tells the time of this machine; it is set once and then runs steadily. */
public final class SystemClock implements Clock {

  private final long startMs = System.currentTimeMillis();
  private final long startNanos = System.nanoTime();

  @Override
  public long nowMs() {
    return startMs + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }
}
