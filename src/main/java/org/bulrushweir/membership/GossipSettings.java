package org.bulrushweir.membership;

/**
 * Defines the limits of the size of gossip messages and of forwarding.
 *
 * @param maximumReports the maximum number of reports in a message
 * @param maximumInfos the maximum number of descriptions, and of requests for descriptions, in a
 *     message
 * @param forwardLimit the number of messages in which a process forwards the same report with
 *     precedence
 * @param refreshReports the number of reports in a message that are taken from the rotation over
 *     all endpoints
 */
public record GossipSettings(
    int maximumReports, int maximumInfos, int forwardLimit, int refreshReports) {

  /** The default limits, which keep a message within a datagram of 1,200 bytes. */
  public static final GossipSettings DEFAULT = new GossipSettings(44, 4, 6, 2);
}
