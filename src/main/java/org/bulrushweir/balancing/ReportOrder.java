package org.bulrushweir.balancing;

/**
 * The position of a report among the reports of its peer. Incarnations are not ordered, because the
 * wall clock of a VM may jump: a report of any other incarnation counts as newer.
 *
 * @param incarnation identifies the run of the peer's process
 * @param sequence the number of the report in this incarnation
 */
record ReportOrder(long incarnation, long sequence) {

  /**
   * Returns whether a report was sent after another one of the same peer.
   *
   * @param other the other report
   * @return true if it is newer
   */
  boolean isNewerThan(final ReportOrder other) {
    return incarnation != other.incarnation || sequence > other.sequence;
  }
}
