package org.bulrushweir.membership;

/**
 * Decides how often a process gossips, so that gossip costs little in a small fleet and stays
 * within its budget in a large one.
 */
public final class GossipPacer {

  /** How many bytes a second a process sends in a small fleet. */
  private static final double BASE_BYTES_PER_SECOND = 1_100;

  /** Up to how many endpoints a fleet is small. */
  private static final int SMALL_FLEET_ENDPOINTS = 18;

  /** How many bytes a second are added for each further endpoint. */
  private static final double BYTES_PER_SECOND_AND_ENDPOINT = 60;

  /** How many bytes a second a process sends at the most; it receives as many. */
  private static final double MAXIMUM_BYTES_PER_SECOND = 9_200;

  /** How many bytes a message has besides its reports, headers of the network included. */
  private static final int MESSAGE_BYTES = 80;

  /** How many bytes a report has in a message. */
  private static final int REPORT_BYTES = 25;

  /** How many milliseconds a second has. */
  private static final double MILLISECONDS_PER_SECOND = 1_000;

  private GossipPacer() {}

  /**
   * Computes how often a process sends a message.
   *
   * @param endpoints how many endpoints the fleet has
   * @return the interval in milliseconds
   */
  public static long roundIntervalMs(final int endpoints) {
    final double budget =
        Math.min(
            MAXIMUM_BYTES_PER_SECOND,
            BASE_BYTES_PER_SECOND
                + BYTES_PER_SECOND_AND_ENDPOINT * Math.max(0, endpoints - SMALL_FLEET_ENDPOINTS));
    final int reports = Math.min(endpoints, GossipSettings.DEFAULT.maximumReports());
    final double messageBytes = MESSAGE_BYTES + (double) REPORT_BYTES * reports;
    return Math.round(MILLISECONDS_PER_SECOND * messageBytes / budget);
  }
}
