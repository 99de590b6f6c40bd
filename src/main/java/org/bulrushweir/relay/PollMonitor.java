package org.bulrushweir.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Tells how long what has arrived at the sockets of an event loop may have waited unread. It is
 * told when the loop polls its sockets; it does no I/O.
 *
 * <p>A poll waits until something arrives or a time is over, and handles what has arrived. Whatever
 * a poll handles may have arrived since the wait of the poll before it ended. A process that was
 * stopped while it waited polls later than it was due.
 */
public final class PollMonitor {

  private final Deque<Postponed> postponed = new ArrayDeque<>();
  private long addedSocketSinceMs;
  private long addedSocketPoll;
  private boolean polling;
  private boolean waitEnded;
  private long completedPolls;

  /** The time from which on the current or last poll did not wait any more. */
  private long busySinceMs;

  /** How long arrivals may have waited before the current poll started to wait. */
  private long unreadBeforeMs;

  /**
   * Creates the monitor of a loop that has not polled.
   *
   * @param nowMs the time from which on something may arrive, in Unix milliseconds
   */
  public PollMonitor(final long nowMs) {
    busySinceMs = nowMs;
  }

  /**
   * Records that a socket is polled from the next poll on.
   *
   * @param sinceMs the time since which something may have arrived there, in Unix milliseconds
   */
  public void socketAdded(final long sinceMs) {
    addedSocketSinceMs = sinceMs;
    addedSocketPoll = nextPoll();
  }

  /** Returns the number of the next poll to start, counted from one. */
  private long nextPoll() {
    return completedPolls + (polling ? 2 : 1);
  }

  /**
   * Records that a poll starts.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @param maxWaitMs the longest time that it waits, in milliseconds
   */
  public void pollStarted(final long nowMs, final long maxWaitMs) {
    unreadBeforeMs = Math.max(0, nowMs - busySinceMs);
    busySinceMs = nowMs + maxWaitMs;
    polling = true;
    waitEnded = false;
  }

  /**
   * Records that the poll handles something that has arrived.
   *
   * @param nowMs the current time, in Unix milliseconds
   */
  public void arrivalHandled(final long nowMs) {
    if (!waitEnded) {
      waitEnded = true;
      busySinceMs = Math.min(busySinceMs, nowMs);
    }
  }

  /**
   * Records that the poll has handled all that had arrived.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the tasks that waited for this poll, in order
   */
  public List<Runnable> pollEnded(final long nowMs) {
    arrivalHandled(nowMs);
    polling = false;
    completedPolls++;
    final List<Runnable> due = new ArrayList<>();
    while (!postponed.isEmpty() && postponed.peekFirst().poll() <= completedPolls) {
      due.add(postponed.removeFirst().task());
    }
    return due;
  }

  /**
   * Returns the time since which arrivals may have waited unread.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the time in Unix milliseconds; all that arrived before it has been handled
   */
  public long unreadSinceMs(final long nowMs) {
    final long sinceMs = nowMs - unreadForMs(nowMs);
    return completedPolls < addedSocketPoll ? Math.min(addedSocketSinceMs, sinceMs) : sinceMs;
  }

  private long unreadForMs(final long nowMs) {
    final long busyMs = Math.max(0, nowMs - busySinceMs);
    return polling ? unreadBeforeMs + busyMs : busyMs;
  }

  /**
   * Returns the number of polls that have ended.
   *
   * @return the count
   */
  public long completedPolls() {
    return completedPolls;
  }

  /**
   * Postpones a task until all that has arrived by now has been handled.
   *
   * @param task the task, which {@link #pollEnded} returns
   */
  public void afterNextPoll(final Runnable task) {
    postponed.addLast(new Postponed(nextPoll(), task));
  }

  /**
   * Returns whether tasks wait for a poll, which must not wait for arrivals then.
   *
   * @return true if there are any
   */
  public boolean hasPostponed() {
    return !postponed.isEmpty();
  }

  /**
   * A task that waits for a poll.
   *
   * @param poll the number of the poll, counted from one
   * @param task the task
   */
  private record Postponed(long poll, Runnable task) {}
}
