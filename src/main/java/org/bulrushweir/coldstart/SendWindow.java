package org.bulrushweir.coldstart;

import java.util.ArrayDeque;

/** The times of this gateway's latest requests to one endpoint. */
final class SendWindow {

  /**
   * The time for which a request counts, in milliseconds: the second of the bound and 200 ms by
   * which the time from the write of a request to its arrival may vary.
   */
  static final long WINDOW_MS = 1_200;

  /**
   * The time for which a request counts that was meant for the endpoint and has not been sent, in
   * milliseconds: the wait for a prefix and for a connection.
   */
  private static final long RESERVATION_MS = 1_000;

  /** The number of requests that are remembered, above the share of any gateway. */
  private static final int MAX_REMEMBERED = 1_024;

  private final ArrayDeque<Long> sends = new ArrayDeque<>();
  private final ArrayDeque<Long> reservations = new ArrayDeque<>();

  void recordSend(final long nowMs) {
    reservations.pollFirst();
    add(sends, nowMs);
  }

  void reserve(final long nowMs) {
    add(reservations, nowMs);
  }

  private static void add(final ArrayDeque<Long> times, final long nowMs) {
    times.addLast(nowMs);
    if (times.size() > MAX_REMEMBERED) {
      times.removeFirst();
    }
  }

  /** Returns the number of requests that were sent within the window. */
  int sends(final long nowMs) {
    dropBefore(sends, nowMs - WINDOW_MS);
    return sends.size();
  }

  /** Returns the number of requests that are meant for the endpoint and not sent. */
  int reservations(final long nowMs) {
    dropBefore(reservations, nowMs - RESERVATION_MS);
    return reservations.size();
  }

  private static void dropBefore(final ArrayDeque<Long> times, final long limitMs) {
    while (!times.isEmpty() && times.getFirst() <= limitMs) {
      times.removeFirst();
    }
  }
}
