package org.bulrushweir.kernel;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;

/**
 * Runs a task and logs its failure. Executors drop a periodic task for good once it throws; with
 * this one it runs again after its delay.
 */
public final class PeriodicTask implements Runnable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The shortest time between two log lines on failures, in seconds. */
  private static final int LOG_INTERVAL_S = 10;

  private final String name;
  private final Runnable task;

  /**
   * Creates the task.
   *
   * @param name what it does, for the log
   * @param task the task
   */
  public PeriodicTask(final String name, final Runnable task) {
    this.name = name;
    this.task = task;
  }

  @Override
  public void run() {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      logger.atSevere().atMostEvery(LOG_INTERVAL_S, TimeUnit.SECONDS).withCause(e).log(
          "the periodic task \"%s\" failed; it will run again", name);
    }
  }
}
