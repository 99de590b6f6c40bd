package org.bulrushweir.membership;

import java.util.List;

/**
 * Holds the reports of a gossip message that were newer than the stored ones.
 *
 * @param reports the newer reports
 * @param urgent true if one of them introduces an endpoint or an incarnation or changes a leaving
 *     state, so that it is forwarded without waiting for the next round
 */
public record GossipUpdate(List<EndpointReport> reports, boolean urgent) {}
