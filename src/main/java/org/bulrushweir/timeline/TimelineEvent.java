package org.bulrushweir.timeline;

import java.util.Comparator;
import org.bulrushweir.api.NodeId;

/**
 * Describes something that happened in a process.
 *
 * @param stamp when it happened, by the hybrid clock
 * @param node the process
 * @param kind what happened
 * @param subject what it is about
 * @param detail more about it, may be empty
 */
public record TimelineEvent(
    long stamp, NodeId node, EventKind kind, EventSubject subject, String detail)
    implements Comparable<TimelineEvent> {

  /** Orders events so that causes come before what follows from them. */
  private static final Comparator<TimelineEvent> ORDER =
      Comparator.comparingLong(TimelineEvent::stamp).thenComparing(TimelineEvent::node);

  @Override
  public int compareTo(final TimelineEvent other) {
    return ORDER.compare(this, other);
  }
}
