package org.bulrushweir.membership;

import java.util.List;

/**
 * Holds the content of one gossip datagram.
 *
 * @param reports the reports of endpoints with their ages
 * @param infos the descriptions that peers have requested
 * @param unknown the keys of endpoints whose descriptions the sender requests
 */
public record GossipMessage(
    List<AgedReport> reports, List<EndpointInfo> infos, List<Long> unknown) {}
