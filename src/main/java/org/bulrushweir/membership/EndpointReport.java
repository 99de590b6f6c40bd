package org.bulrushweir.membership;

import org.bulrushweir.api.Incarnation;

/**
 * Describes the state of an endpoint as its sidecar reports it.
 *
 * @param key the hash of the endpoint's id, see {@link EndpointTable#key}
 * @param incarnation the incarnation of the sidecar
 * @param version the number of the report within this incarnation; a greater number is newer
 * @param leaving true if the endpoint accepts no new work
 * @param load the work of its queued and running attempts, in work units
 * @param paceMicros the time per generated token in microseconds, zero if unknown
 */
public record EndpointReport(
    long key, Incarnation incarnation, int version, boolean leaving, long load, int paceMicros) {

  /**
   * Returns whether this report is newer than another one of the same endpoint. A greater
   * incarnation is newer; within one incarnation, a greater version is newer.
   *
   * @param other the other report
   * @return true if this report is newer
   */
  public boolean isNewerThan(final EndpointReport other) {
    final int order = incarnation.compareTo(other.incarnation);
    return order > 0 || order == 0 && version > other.version;
  }
}
