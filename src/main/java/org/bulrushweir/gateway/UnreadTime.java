package org.bulrushweir.gateway;

import org.bulrushweir.api.Clock;
import org.bulrushweir.relay.PollMonitor;

/**
 * Tells since when what a caller sends on its connection, its close included, may be unread. A
 * connection may have waited to be accepted; it is read for the first time at the next poll.
 */
final class UnreadTime {

  private final PollMonitor polls;
  private final Clock clock;
  private final long openedPoll;
  private final long openedMs;

  /**
   * Creates the time of a connection that has just been accepted.
   *
   * @param polls the monitor of the event loop's polls
   * @param clock the process's clock
   */
  UnreadTime(final PollMonitor polls, final Clock clock) {
    this.polls = polls;
    this.clock = clock;
    this.openedPoll = polls.completedPolls();
    this.openedMs = polls.unreadSinceMs(clock.nowMs());
  }

  /**
   * Returns the time since which arrivals may be unread.
   *
   * @return the time in Unix milliseconds; all that arrived before it has been read
   */
  long sinceMs() {
    final long sinceMs = polls.unreadSinceMs(clock.nowMs());
    final boolean firstRead = polls.completedPolls() <= openedPoll + 1;
    return firstRead ? Math.min(openedMs, sinceMs) : sinceMs;
  }
}
