package org.bulrushweir.soak;

import java.io.IOException;

/** A gateway as the soak sees it from outside. */
interface SoakGateway extends AutoCloseable {

  /** Returns its name. */
  String name();

  /** Returns the port for callers. */
  int port();

  /** Returns the number of its process, counted from one. */
  int boot();

  /** Returns whether its process runs. */
  boolean isAlive();

  /** Returns the id of its process, zero if there is none. */
  long pid();

  /** Returns the memory of its process in kilobytes, zero if it can't be read. */
  long memoryKb();

  /**
   * Sends a signal to its process.
   *
   * @param signal the signal's name, for example STOP
   */
  void signal(String signal);

  /**
   * Waits until its process has ended.
   *
   * @param timeoutMs for how long, in milliseconds
   * @return false if it still runs
   * @throws InterruptedException if the thread is interrupted
   */
  boolean awaitEnd(long timeoutMs) throws InterruptedException;

  /**
   * Starts a process and waits until it takes callers.
   *
   * @throws Exception if it does not start
   */
  void start() throws Exception;

  @Override
  void close() throws IOException;
}
