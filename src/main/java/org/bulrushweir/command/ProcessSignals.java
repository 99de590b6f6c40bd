package org.bulrushweir.command;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.atomic.AtomicBoolean;
import sun.misc.Signal;

/**
 * Runs a task when the process receives SIGTERM or SIGINT. The task must end the process. SIGHUP is
 * only logged.
 *
 * <p>A shutdown hook does not serve: the JVM runs all hooks at the same time, and the one of {@code
 * java.util.logging} removes the log handlers, so that the last lines of the process are lost.
 */
final class ProcessSignals {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private ProcessSignals() {}

  /**
   * Replaces the JVM's reaction to the signals. Call it before anything is served.
   *
   * @param task stops the services and ends the process; runs once, in a thread of its own
   */
  static void handle(final Runnable task) {
    Signal.handle(
        new Signal("HUP"),
        signal -> logger.atInfo().log("SIGHUP: settings are read at the next start"));
    final AtomicBoolean received = new AtomicBoolean();
    for (final String name : new String[] {"TERM", "INT"}) {
      Signal.handle(
          new Signal(name),
          signal -> {
            if (received.compareAndSet(false, true)) {
              new Thread(task, "stop").start();
            }
          });
    }
  }
}
