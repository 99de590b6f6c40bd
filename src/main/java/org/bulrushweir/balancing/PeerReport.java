package org.bulrushweir.balancing;

import java.util.List;
import java.util.Map;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.NodeId;

/**
 * A gateway's report to its peers.
 *
 * @param node the gateway
 * @param incarnation identifies the run of the gateway's process
 * @param sequence the number of the report in this incarnation
 * @param planVersion the version of the routing plan that the gateway applies, zero if it has none
 * @param loads the gateway's load by endpoint; endpoints without an attempt of the gateway are left
 *     out
 * @param placements the prompts that the gateway has sent since its last report
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
   * @param prefilledInMs the time until the endpoint has prefilled these segments, in milliseconds
   */
  public record Placement(
      EndpointId endpoint, List<PromptSegment> sharedSegments, long prefilledInMs) {}
}
