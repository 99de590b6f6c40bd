package org.bulrushweir.membership;

/**
 * Bounds what gossip costs.
 *
 * @param maximumReports how many reports a message carries
 * @param maximumInfos how many descriptions a message carries
 * @param forwardLimit how often a process passes on the same report
 * @param refreshReports how many reports that are no news a message carries nevertheless
 */
public record GossipSettings(
    int maximumReports, int maximumInfos, int forwardLimit, int refreshReports) {

  /** Keeps messages within a datagram of 1,200 bytes. */
  public static final GossipSettings DEFAULT = new GossipSettings(44, 4, 6, 2);
}
