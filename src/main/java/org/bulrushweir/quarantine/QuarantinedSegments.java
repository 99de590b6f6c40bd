package org.bulrushweir.quarantine;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The prompt segments in quarantine, with the times of the last crash under each and of the last
 * request with it. A quarantine ends a fixed time after the last crash, whatever is asked
 * meanwhile. The number of segments is bounded. A full set takes a new segment only in place of one
 * that has been out of use for longer than crashes count: displacing another one would bring its
 * crashes back as unexplained.
 */
final class QuarantinedSegments {

  /** The largest number of segments; all of them are reported to peers. */
  static final int CAPACITY = 64;

  /** The time after the last crash under a segment for which it stays in quarantine. */
  static final long QUARANTINE_MS = 300_000;

  /**
   * The age of the last crash, in milliseconds, up to which a quarantine is taken over from a peer.
   * Reports take time, so gateways would keep a quarantine alive by returning it to each other if
   * they took it over until its end.
   */
  static final long MAX_TAKEN_OVER_MS = QUARANTINE_MS - 10_000;

  private final Map<Long, Times> timesBySegment = new HashMap<>();

  /** Creates an empty set. */
  QuarantinedSegments() {}

  /**
   * Adds a segment, or records a later crash under it.
   *
   * @param segment the id of the segment
   * @param crashMs the time of the last crash under it, in Unix milliseconds
   * @param nowMs the current time, in Unix milliseconds
   * @return false if the set is full of segments that are in use
   */
  boolean add(final long segment, final long crashMs, final long nowMs) {
    final Times times = timesBySegment.get(segment);
    if (times != null) {
      times.crashMs = Math.max(times.crashMs, crashMs);
      return true;
    }
    if (timesBySegment.size() >= CAPACITY && !displace(nowMs)) {
      return false;
    }
    timesBySegment.put(segment, new Times(crashMs));
    return true;
  }

  private boolean displace(final long nowMs) {
    final Map.Entry<Long, Times> leastUsed =
        timesBySegment.entrySet().stream()
            .min(Comparator.comparingLong(entry -> entry.getValue().lastUseMs()))
            .orElseThrow();
    if (nowMs - leastUsed.getValue().lastUseMs() <= PromptQuarantine.EVIDENCE_MS) {
      return false;
    }
    timesBySegment.remove(leastUsed.getKey());
    return true;
  }

  /**
   * Records a request with a segment in quarantine.
   *
   * @param segment the id of the segment
   * @param nowMs the current time, in Unix milliseconds
   */
  void recordRequest(final long segment, final long nowMs) {
    timesBySegment.get(segment).requestMs = nowMs;
  }

  /**
   * Lifts the quarantine of a segment.
   *
   * @param segment the id of the segment
   */
  void remove(final long segment) {
    timesBySegment.remove(segment);
  }

  /**
   * Lifts the quarantine of the segments under which no engine has crashed for long.
   *
   * @param nowMs the current time, in Unix milliseconds
   */
  void removeLapsed(final long nowMs) {
    timesBySegment.values().removeIf(times -> nowMs - times.crashMs > QUARANTINE_MS);
  }

  /**
   * Returns whether a segment is in quarantine.
   *
   * @param segment the id of the segment
   * @return true if requests with it are refused
   */
  boolean contains(final long segment) {
    return timesBySegment.containsKey(segment);
  }

  boolean isEmpty() {
    return timesBySegment.isEmpty();
  }

  int size() {
    return timesBySegment.size();
  }

  /**
   * Returns the segments.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the segments with the times since the last crashes under them
   */
  List<SegmentAge> ages(final long nowMs) {
    return timesBySegment.entrySet().stream()
        .map(entry -> new SegmentAge(entry.getKey(), nowMs - entry.getValue().crashMs))
        .toList();
  }

  /** When a segment in quarantine was last seen, in Unix milliseconds. */
  private static final class Times {
    private long crashMs;
    private long requestMs;

    Times(final long crashMs) {
      this.crashMs = crashMs;
      this.requestMs = crashMs;
    }

    long lastUseMs() {
      return Math.max(crashMs, requestMs);
    }
  }
}
