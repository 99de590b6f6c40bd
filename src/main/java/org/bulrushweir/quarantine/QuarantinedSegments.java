package org.bulrushweir.quarantine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The prompt segments in quarantine, with the time of the last request for each. Their number is
 * bounded. A full set takes a new segment only in place of one that has been out of use for longer
 * than crashes count: displacing another one would bring its crashes back as unexplained.
 */
final class QuarantinedSegments {

  /** The largest number of segments; all of them are reported to peers. */
  static final int CAPACITY = 64;

  /** The time after the last request with a segment for which it stays in quarantine. */
  private static final long QUARANTINE_MS = 300_000;

  private final Map<Long, Long> requestAtMs = new HashMap<>();

  /** Creates an empty set. */
  QuarantinedSegments() {}

  /**
   * Adds a segment, or records a later request with it.
   *
   * @param segment the id of the segment
   * @param requestMs the time of the last request with it, in Unix milliseconds
   * @param nowMs the current time, in Unix milliseconds
   * @return false if the set is full of segments that are in use
   */
  boolean add(final long segment, final long requestMs, final long nowMs) {
    if (!requestAtMs.containsKey(segment) && requestAtMs.size() >= CAPACITY && !displace(nowMs)) {
      return false;
    }
    requestAtMs.merge(segment, requestMs, Math::max);
    return true;
  }

  private boolean displace(final long nowMs) {
    final Map.Entry<Long, Long> leastUsed =
        requestAtMs.entrySet().stream().min(Map.Entry.comparingByValue()).orElseThrow();
    if (nowMs - leastUsed.getValue() <= PromptQuarantine.EVIDENCE_MS) {
      return false;
    }
    requestAtMs.remove(leastUsed.getKey());
    return true;
  }

  /**
   * Lifts the quarantine of a segment.
   *
   * @param segment the id of the segment
   */
  void remove(final long segment) {
    requestAtMs.remove(segment);
  }

  /**
   * Lifts the quarantine of the segments that have been out of use for long.
   *
   * @param nowMs the current time, in Unix milliseconds
   */
  void removeUnused(final long nowMs) {
    requestAtMs.values().removeIf(requestMs -> nowMs - requestMs > QUARANTINE_MS);
  }

  /**
   * Returns whether a segment is in quarantine.
   *
   * @param segment the id of the segment
   * @return true if requests with it are refused
   */
  boolean contains(final long segment) {
    return requestAtMs.containsKey(segment);
  }

  boolean isEmpty() {
    return requestAtMs.isEmpty();
  }

  int size() {
    return requestAtMs.size();
  }

  /**
   * Returns the segments.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the segments with the times since the last requests with them
   */
  List<SegmentAge> ages(final long nowMs) {
    return requestAtMs.entrySet().stream()
        .map(entry -> new SegmentAge(entry.getKey(), nowMs - entry.getValue()))
        .toList();
  }
}
