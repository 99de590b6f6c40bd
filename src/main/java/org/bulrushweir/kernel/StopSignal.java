package org.bulrushweir.kernel;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Holds the time at which the process was told to stop, from which its grace period runs. The stop
 * itself may begin later: it waits for a start that is under way.
 */
public final class StopSignal {

  private static final long NONE = Long.MIN_VALUE;

  private final AtomicLong receivedMs = new AtomicLong(NONE);

  /** Creates the state of a process that was not told to stop. */
  public StopSignal() {}

  /**
   * Records that the process is told to stop. Only the first call counts.
   *
   * @param nowMs the current time, in Unix milliseconds
   */
  public void receive(final long nowMs) {
    receivedMs.compareAndSet(NONE, nowMs);
  }

  /**
   * Returns when the process was told to stop.
   *
   * @param nowMs the current time, in Unix milliseconds; the stop begins without a signal if there
   *     was none
   * @return the time in Unix milliseconds
   */
  public long sinceMs(final long nowMs) {
    receive(nowMs);
    return receivedMs.get();
  }
}
