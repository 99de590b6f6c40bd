package org.bulrushweir.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.bulrushweir.api.Clock;
import org.bulrushweir.engine.EngineProtocol;

/** Publishes changes of a prefix cache late and with gaps. */
final class CacheEventLog {

  private static final int CAPACITY = 10_000;

  private final Deque<TimedEvent> events = new ArrayDeque<>();
  private final Clock clock;
  private final long lagMs;
  private final double lossRate;
  private final Random random;
  private long lastSequence;

  /**
   * Creates an empty log.
   *
   * @param clock the clock
   * @param lagMs how late events are published, in milliseconds
   * @param lossRate the share of events that are never published
   * @param random decides which events are lost
   */
  CacheEventLog(final Clock clock, final long lagMs, final double lossRate, final Random random) {
    this.clock = clock;
    this.lagMs = lagMs;
    this.lossRate = lossRate;
    this.random = random;
  }

  /**
   * Adds an event.
   *
   * @param block the hash of the block
   * @param stored true if the block was stored, false if it was evicted
   */
  synchronized void add(final long block, final boolean stored) {
    lastSequence++;
    if (random.nextDouble() < lossRate) {
      return;
    }
    events.addLast(
        new TimedEvent(clock.nowMs(), new EngineProtocol.CacheEvent(lastSequence, block, stored)));
    if (events.size() > CAPACITY) {
      events.removeFirst();
    }
  }

  /**
   * Returns the published events after a sequence number.
   *
   * @param sequence the last sequence number that the reader has
   * @return the events in order
   */
  synchronized List<EngineProtocol.CacheEvent> after(final long sequence) {
    final long publishedMs = clock.nowMs() - lagMs;
    return events.stream()
        .filter(it -> it.timeMs() <= publishedMs)
        .map(TimedEvent::event)
        .filter(it -> it.sequence() > sequence)
        .toList();
  }

  /**
   * Remembers when an event happened.
   *
   * @param timeMs when, in milliseconds
   * @param event the event
   */
  private record TimedEvent(long timeMs, EngineProtocol.CacheEvent event) {}
}
