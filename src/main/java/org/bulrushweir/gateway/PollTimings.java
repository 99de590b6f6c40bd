package org.bulrushweir.gateway;

/** The timing of polls of the store's tables, besides their waits ({@code ReadingSchedule}). */
final class PollTimings {

  /**
   * The delay before the next poll after changes were received, in milliseconds. Changes in quick
   * succession then cost one call; the delay is a small part of the time within which changes must
   * be in force.
   */
  static final long BATCH_DELAY_MS = 150;

  /**
   * The delay before the next poll after changes none of which affects the use of an endpoint, in
   * milliseconds, if gateways share their readings. A removal that follows is received that much
   * later, within a fifth of the time in which it must take effect.
   */
  static final long MINOR_BATCH_DELAY_MS = 400;

  /**
   * The time between two checks of a waiting poll, in milliseconds: a small part of the times that
   * {@code ReadingSchedule} waits for.
   */
  static final long CHECK_INTERVAL_MS = 50;

  /** The delay before the first retry of a failed poll, in milliseconds. */
  static final long INITIAL_RETRY_MS = 100;

  /**
   * The upper limit of the mean delay between retries, in milliseconds. Endpoints register again
   * within two seconds of the store's return, and an endpoint that has left must be known one
   * second later.
   */
  static final long MAX_RETRY_MS = 400;

  private PollTimings() {}
}
