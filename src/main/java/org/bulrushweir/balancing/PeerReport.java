package org.bulrushweir.balancing;

import java.util.List;
import java.util.Map;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.NodeId;

/**
 * Says what a router tells its peers.
 *
 * @param node the router
 * @param incarnation tells the lives of its process apart
 * @param sequence the report's number in this incarnation
 * @param planVersion the version of the plan in force there
 * @param loads what it has at each endpoint; endpoints where it has nothing are left out
 * @param placements the prompts that it has sent since its last report
 */
public record PeerReport(
    NodeId node,
    long incarnation,
    long sequence,
    long planVersion,
    Map<EndpointId, PeerLoad> loads,
    List<Placement> placements) {

  /**
   * Says where a prompt was sent.
   *
   * @param endpoint the endpoint
   * @param sharedSegments the parts that other requests share
   * @param readInMs in which time the endpoint will have read them, in milliseconds
   */
  public record Placement(EndpointId endpoint, List<PromptSegment> sharedSegments, long readInMs) {}
}
