package org.bulrushweir.gateway;

import org.bulrushweir.api.NodeId;
import org.bulrushweir.wire.generated.RouterReport;

/** A part of the reports that gateways exchange. Its size must not grow with the fleet. */
interface ReportSection {

  /**
   * Adds this gateway's part to a report.
   *
   * @param report the report that is about to be sent
   * @param nowMs the current time, in Unix milliseconds
   */
  void write(RouterReport.Builder report, long nowMs);

  /**
   * Reads a peer's part. It is empty if the peer runs an older version.
   *
   * @param sender the peer
   * @param report the report
   * @param nowMs the current time, in Unix milliseconds
   */
  void read(NodeId sender, RouterReport report, long nowMs);
}
