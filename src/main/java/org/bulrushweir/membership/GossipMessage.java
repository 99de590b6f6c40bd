package org.bulrushweir.membership;

import java.util.List;

/**
 * Holds what a process tells a peer in one datagram.
 *
 * @param reports reports of endpoints
 * @param infos descriptions of endpoints that a peer has asked for
 * @param unknown keys of endpoints of which the sender has no description
 */
public record GossipMessage(
    List<AgedReport> reports, List<EndpointInfo> infos, List<Long> unknown) {}
