package org.bulrushweir.gateway;

/**
 * The times of following the store. A connection that has gone silent shows only when a poll is not
 * answered in time; wait and time-out together must stay below the time within which configurations
 * are in force.
 */
final class PollTimings {

  /** How long the store waits for a change before it answers, in milliseconds. */
  static final long WAIT_MS = 1_400;

  /**
   * The pause after changes before more are asked for, in milliseconds, so that those that come in
   * quick succession cost one call: a small part of the time within which changes are in force.
   */
  static final long BATCH_MS = 150;

  /** The pause before the first new try, in milliseconds. */
  static final long FIRST_RETRY_MS = 100;

  /**
   * The longest mean pause between tries, in milliseconds: endpoints register again within two
   * seconds of the store's return, and what has left must be known a second later.
   */
  static final long LONGEST_RETRY_MS = 400;

  private PollTimings() {}
}
