package org.bulrushweir.command;

import java.util.concurrent.atomic.AtomicBoolean;
import sun.misc.Signal;

/**
 * Runs a task when the process receives SIGTERM or SIGINT. The task must end the process.
 *
 * <p>A shutdown hook does not serve: the JVM runs all hooks at the same time, and the one of {@code
 * java.util.logging} removes the log handlers, so that the last lines of the process are lost.
 */
final class StopSignals {

  private StopSignals() {}

  /**
   * Replaces the JVM's reaction to the signals. Call it before anything is served.
   *
   * @param task stops the services and ends the process; runs once, in a thread of its own
   */
  static void handle(final Runnable task) {
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
