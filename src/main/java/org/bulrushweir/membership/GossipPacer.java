package org.bulrushweir.membership;

/**
 * Computes the gossip interval of a process from the size of the fleet, so that the traffic is low
 * in a small fleet and within a byte budget in a large one.
 */
public final class GossipPacer {

  /** Bytes that a process sends per second in a small fleet. */
  private static final double BASE_BYTES_PER_SECOND = 1_100;

  /** Largest number of endpoints of a small fleet. */
  private static final int SMALL_FLEET_ENDPOINTS = 18;

  /** Bytes per second that each endpoint beyond a small fleet adds. */
  private static final double BYTES_PER_SECOND_PER_ENDPOINT = 60;

  /** Maximum number of bytes that a process sends per second; it receives as many. */
  private static final double MAXIMUM_BYTES_PER_SECOND = 9_200;

  /** Size of a message without its reports, including network headers, in bytes. */
  private static final int MESSAGE_BYTES = 80;

  /** Encoded size of a report in a message, in bytes. */
  private static final int REPORT_BYTES = 25;

  private static final double MILLISECONDS_PER_SECOND = 1_000;

  private GossipPacer() {}

  /**
   * Computes the interval between two gossip rounds of a process.
   *
   * @param endpoints the number of endpoints of the fleet
   * @return the interval in milliseconds
   */
  public static long roundIntervalMs(final int endpoints) {
    final double budget =
        Math.min(
            MAXIMUM_BYTES_PER_SECOND,
            BASE_BYTES_PER_SECOND
                + BYTES_PER_SECOND_PER_ENDPOINT * Math.max(0, endpoints - SMALL_FLEET_ENDPOINTS));
    final int reports = Math.min(endpoints, GossipSettings.DEFAULT.maximumReports());
    final double messageBytes = MESSAGE_BYTES + (double) REPORT_BYTES * reports;
    return Math.round(MILLISECONDS_PER_SECOND * messageBytes / budget);
  }
}
