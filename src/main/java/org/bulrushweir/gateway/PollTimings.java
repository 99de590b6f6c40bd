package org.bulrushweir.gateway;

/**
 * The timing of polls of the store's tables.
 *
 * <p>A broken connection to the store shows only when a poll is not answered in time. The poll's
 * wait and the timeout of the call must together stay below the time within which a new
 * configuration must be in force.
 */
final class PollTimings {

  /** The time for which the store waits for a change before it returns none, in milliseconds. */
  static final long POLL_WAIT_MS = 1_400;

  /**
   * The delay before the next poll after changes were received, in milliseconds. Changes in quick
   * succession then cost one call; the delay is a small part of the time within which changes must
   * be in force.
   */
  static final long BATCH_DELAY_MS = 150;

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
