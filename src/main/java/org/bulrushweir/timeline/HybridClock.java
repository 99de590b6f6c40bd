package org.bulrushweir.timeline;

import org.bulrushweir.api.Clock;

/**
 * Stamps events so that an event that another one follows from always has the lesser stamp, however
 * far the clocks of machines are apart. A stamp holds milliseconds and a counter. Safe for use by
 * many threads.
 */
public final class HybridClock {

  /** How many bits of a stamp the counter takes. */
  private static final int COUNTER_BITS = 16;

  /** The clock. */
  private final Clock clock;

  /** The greatest stamp given or seen. */
  private long last;

  /**
   * Creates a hybrid clock.
   *
   * @param clock the clock
   */
  public HybridClock(final Clock clock) {
    this.clock = clock;
  }

  /**
   * Returns a stamp that is greater than all stamps given or seen before.
   *
   * @return the stamp
   */
  public synchronized long next() {
    last = Math.max(last + 1, clock.nowMs() << COUNTER_BITS);
    return last;
  }

  /**
   * Takes note of a stamp that came with a message.
   *
   * @param stamp the stamp, zero if the message had none
   */
  public synchronized void observe(final long stamp) {
    last = Math.max(last, stamp);
  }

  /**
   * Extracts the time of a stamp.
   *
   * @param stamp the stamp
   * @return milliseconds since the Unix epoch
   */
  public static long timeMs(final long stamp) {
    return stamp >>> COUNTER_BITS;
  }
}
