package org.bulrushweir.coldstart;

import java.util.ArrayDeque;

/**
 * This gateway's latest requests to one endpoint.
 *
 * <p>A request without an answer counts however long ago it was sent: behind a cut link, or at an
 * endpoint that is frozen, all of them arrive together later.
 */
final class SendWindow {

  /**
   * The time for which a request counts, in milliseconds: the second of the bound and 200 ms by
   * which the time from the write of a request to its arrival may vary.
   */
  static final long WINDOW_MS = 1_200;

  /**
   * The time to the answer above which a request may have arrived long after it was sent, in
   * milliseconds. It then counts from its answer.
   */
  private static final long LATE_ANSWER_MS = 1_000;

  /** The time after which a request without an answer no longer counts, in milliseconds. */
  private static final long UNANSWERED_MS = 30_000;

  /**
   * The time for which a request counts that was meant for the endpoint and has not been sent, in
   * milliseconds: the wait for a prefix and for a connection.
   */
  private static final long RESERVATION_MS = 1_000;

  /** The number of requests that are remembered, above the share of any gateway. */
  private static final int MAX_REMEMBERED = 1_024;

  private final ArrayDeque<Long> unanswered = new ArrayDeque<>();
  private final ArrayDeque<Long> answeredUntil = new ArrayDeque<>();
  private final ArrayDeque<Long> reservations = new ArrayDeque<>();

  void recordSend(final long nowMs) {
    reservations.pollFirst();
    add(unanswered, nowMs);
  }

  /** Records the answer or the end of a request; which one it was does not matter. */
  void recordAnswer(final long nowMs) {
    final Long sentMs = unanswered.pollFirst();
    if (sentMs != null) {
      final boolean late = nowMs - sentMs > LATE_ANSWER_MS;
      add(answeredUntil, (late ? nowMs : sentMs) + WINDOW_MS);
    }
  }

  void reserve(final long nowMs) {
    add(reservations, nowMs);
  }

  private static void add(final ArrayDeque<Long> times, final long timeMs) {
    times.addLast(timeMs);
    if (times.size() > MAX_REMEMBERED) {
      times.removeFirst();
    }
  }

  /** Returns the number of requests that may arrive or have arrived within the last second. */
  int sends(final long nowMs) {
    unanswered.removeIf(sentMs -> nowMs - sentMs >= UNANSWERED_MS);
    answeredUntil.removeIf(untilMs -> nowMs >= untilMs);
    return unanswered.size() + answeredUntil.size();
  }

  /** Returns the number of requests that are meant for the endpoint and not sent. */
  int reservations(final long nowMs) {
    reservations.removeIf(reservedMs -> nowMs - reservedMs >= RESERVATION_MS);
    return reservations.size();
  }
}
