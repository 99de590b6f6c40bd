package org.bulrushweir.logging;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes log lines on a thread of its own. Whoever logs never waits: lines that find the queue full
 * are dropped and counted, and the count is written as soon as there is room.
 */
public final class AsyncLogWriter implements AutoCloseable {

  /** How many lines may wait; about two seconds of a busy router's requests. */
  public static final int DEFAULT_CAPACITY = 2_048;

  /** How often the queue is emptied, in milliseconds; waking up more often costs time. */
  private static final long INTERVAL_MS = 200;

  /** How long closing waits for the last lines, in milliseconds. */
  private static final long CLOSE_TIMEOUT_MS = 300;

  private final AtomicLong dropped = new AtomicLong();
  private final BlockingQueue<LogLine> queue;
  private final PrintStream output;
  private final Thread thread;
  private long reportedDropped;
  private volatile boolean closed;

  /**
   * Starts a writer.
   *
   * @param output where lines go
   * @param capacity how many lines may wait
   */
  public AsyncLogWriter(final PrintStream output, final int capacity) {
    this.output = output;
    this.queue = new ArrayBlockingQueue<>(capacity);
    this.thread = Thread.ofPlatform().name("log").daemon().start(this::run);
  }

  /**
   * Takes a line; never blocks.
   *
   * @param line the line
   */
  public void offer(final LogLine line) {
    if (!queue.offer(line)) {
      dropped.incrementAndGet();
    }
  }

  /**
   * Returns how many lines were dropped.
   *
   * @return the count since the start
   */
  public long dropped() {
    return dropped.get();
  }

  private void run() {
    try {
      while (!closed) {
        writeWaiting();
        TimeUnit.MILLISECONDS.sleep(INTERVAL_MS);
      }
    } catch (InterruptedException e) {
      // Closed; the last lines are written below.
    }
    writeWaiting();
  }

  private void writeWaiting() {
    final List<LogLine> lines = new ArrayList<>();
    queue.drainTo(lines);
    if (lines.isEmpty()) {
      return;
    }
    final StringBuilder text = new StringBuilder();
    for (final LogLine line : lines) {
      text.append(line.text()).append('\n');
    }
    final long droppedNow = dropped.get();
    if (droppedNow > reportedDropped) {
      text.append("{\"event\":\"log_lines_dropped\",\"count\":")
          .append(droppedNow - reportedDropped)
          .append("}\n");
      reportedDropped = droppedNow;
    }
    output.print(text);
    output.flush();
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
    try {
      thread.join(CLOSE_TIMEOUT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
