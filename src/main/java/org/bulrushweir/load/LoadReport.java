package org.bulrushweir.load;

import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.Incarnation;

/**
 * Tells how much work an endpoint carried at some moment.
 *
 * @param endpoint the endpoint
 * @param incarnation the life of its sidecar
 * @param version counts the sidecar's reports
 * @param load the work that is queued or running, in work units
 * @param timeMs when that was, by the receiver's clock, in milliseconds
 */
public record LoadReport(
    EndpointId endpoint, Incarnation incarnation, long version, long load, long timeMs) {

  /**
   * Tells whether this report is later than another of the same endpoint.
   *
   * @param other the other report
   * @return true if it is later
   */
  public boolean newerThan(final LoadReport other) {
    final int order = incarnation.compareTo(other.incarnation);
    return order > 0 || order == 0 && version > other.version;
  }
}
