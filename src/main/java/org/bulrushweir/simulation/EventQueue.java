package org.bulrushweir.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.bulrushweir.api.Clock;

/** Runs actions in the order of their virtual times; equal times run in the order of scheduling. */
public final class EventQueue implements Clock {

  private final PriorityQueue<Entry> entries =
      new PriorityQueue<>(
          Comparator.comparingLong(Entry::timeMs).thenComparingLong(Entry::sequence));
  private long nowMs;
  private long sequence;

  /**
   * Creates an empty queue.
   *
   * @param startMs the virtual time at the start
   */
  public EventQueue(final long startMs) {
    this.nowMs = startMs;
  }

  @Override
  public long nowMs() {
    return nowMs;
  }

  /**
   * Schedules an action.
   *
   * @param delayMs after how many milliseconds it runs
   * @param action the action
   */
  public void schedule(final long delayMs, final Runnable action) {
    sequence++;
    entries.add(new Entry(nowMs + Math.max(0, delayMs), sequence, action));
  }

  /**
   * Runs actions until a time is reached or none is left.
   *
   * @param endMs the virtual time at which to stop
   */
  public void runUntil(final long endMs) {
    while (!entries.isEmpty() && entries.peek().timeMs() <= endMs) {
      final Entry next = entries.poll();
      nowMs = next.timeMs();
      next.action().run();
    }
    nowMs = Math.max(nowMs, endMs);
  }

  /**
   * Holds an action.
   *
   * @param timeMs when it runs
   * @param sequence orders equal times
   * @param action the action
   */
  private record Entry(long timeMs, long sequence, Runnable action) {}
}
