package org.bulrushweir.membership;

import java.util.List;

/**
 * Says what a message has brought.
 *
 * @param reports the reports that are later than what was known
 * @param urgent whether one of them says more than another load, so that peers should hear at once
 */
public record GossipUpdate(List<EndpointReport> reports, boolean urgent) {}
