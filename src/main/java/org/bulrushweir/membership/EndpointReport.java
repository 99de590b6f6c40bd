package org.bulrushweir.membership;

import org.bulrushweir.api.Incarnation;

/**
 * Describes what a sidecar says of its endpoint at some moment.
 *
 * @param key the hash of the endpoint's id
 * @param incarnation the life of the sidecar
 * @param version counts the reports of this life
 * @param leaving whether the endpoint takes no new work
 * @param load the work that it carries, in work units
 * @param paceMicros how long a token takes, in microseconds, zero if unknown
 */
public record EndpointReport(
    long key, Incarnation incarnation, int version, boolean leaving, long load, int paceMicros) {

  /**
   * Tells whether this report is later than another of the same endpoint.
   *
   * @param other the other report
   * @return true if it is later
   */
  public boolean isNewerThan(final EndpointReport other) {
    final int order = incarnation.compareTo(other.incarnation);
    return order > 0 || order == 0 && version > other.version;
  }
}
