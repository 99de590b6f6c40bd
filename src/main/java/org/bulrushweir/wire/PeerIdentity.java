package org.bulrushweir.wire;

import org.bulrushweir.api.Incarnation;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.ZoneName;

/**
 * Says who a process is.
 *
 * @param node the process's id
 * @param incarnation which life of the process it is
 * @param zone the availability zone it runs in
 */
public record PeerIdentity(NodeId node, Incarnation incarnation, ZoneName zone) {}
