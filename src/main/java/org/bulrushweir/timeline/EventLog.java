package org.bulrushweir.timeline;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.bulrushweir.api.NodeId;

/** Keeps the latest events of a process in memory. Safe for use by many threads. */
public final class EventLog {

  /** How many events are kept. */
  private static final int CAPACITY = 10_000;

  /** The events, oldest first. */
  private final Deque<TimelineEvent> events = new ArrayDeque<>();

  /** The process. */
  private final NodeId node;

  /** Stamps events. */
  private final HybridClock clock;

  /**
   * Creates an empty log.
   *
   * @param node the process
   * @param clock stamps events
   */
  public EventLog(final NodeId node, final HybridClock clock) {
    this.node = node;
    this.clock = clock;
  }

  /**
   * Adds an event.
   *
   * @param kind what happened
   * @param subject what it is about
   * @param detail more about it, may be empty
   */
  public void add(final EventKind kind, final EventSubject subject, final String detail) {
    final TimelineEvent event = new TimelineEvent(clock.next(), node, kind, subject, detail);
    synchronized (events) {
      events.addLast(event);
      if (events.size() > CAPACITY) {
        events.removeFirst();
      }
    }
  }

  /**
   * Returns the clock that stamps events, which messages between processes carry.
   *
   * @return the clock
   */
  public HybridClock clock() {
    return clock;
  }

  /**
   * Returns the events.
   *
   * @return a copy, oldest first
   */
  public List<TimelineEvent> events() {
    synchronized (events) {
      return List.copyOf(events);
    }
  }
}
