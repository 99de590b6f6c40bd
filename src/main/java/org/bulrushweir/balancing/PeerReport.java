package org.bulrushweir.balancing;

import java.util.List;
import java.util.Map;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.NodeId;

/**
 * A router's report to its peers.
 *
 * @param node the router
 * @param incarnation identifies the run of the router's process
 * @param sequence the number of the report in this incarnation
 * @param planVersion the version of the routing plan that the router applies, zero if it has none
 * @param loads the router's load by endpoint; endpoints without an attempt of the router are left
 *     out
 * @param placements the prompts that the router has sent since its last report
 */
public record PeerReport(
    NodeId node,
    long incarnation,
    long sequence,
    long planVersion,
    Map<EndpointId, PeerLoad> loads,
    List<Placement> placements) {

  /**
   * The placement of a prompt at an endpoint.
   *
   * @param endpoint the endpoint
   * @param sharedSegments the segments that other requests may share: all but the last one
   * @param readInMs the time until the endpoint has prefilled these segments, in milliseconds
   */
  public record Placement(EndpointId endpoint, List<PromptSegment> sharedSegments, long readInMs) {}
}
