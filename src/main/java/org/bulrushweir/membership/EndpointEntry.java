package org.bulrushweir.membership;

/** Holds the latest report and the description of one endpoint. */
final class EndpointEntry {

  private EndpointReport report;

  /** The description; null until one was received. */
  private EndpointInfo info;

  /** Creation time of the latest report, in milliseconds of the process's clock. */
  private long createdAtMs;

  /** Number of messages in which the latest report was forwarded as new. */
  private int forwardCount;

  /**
   * Creates an entry.
   *
   * @param report the first report
   * @param createdAtMs its creation time in milliseconds of the process's clock
   */
  EndpointEntry(final EndpointReport report, final long createdAtMs) {
    this.report = report;
    this.createdAtMs = createdAtMs;
  }

  EndpointReport report() {
    return report;
  }

  EndpointInfo info() {
    return info;
  }

  void info(final EndpointInfo newInfo) {
    info = newInfo;
  }

  boolean belongsTo(final String service) {
    return info != null && info.service().value().equals(service);
  }

  long createdAtMs() {
    return createdAtMs;
  }

  int forwardCount() {
    return forwardCount;
  }

  void incrementForwardCount() {
    forwardCount++;
  }

  /**
   * Replaces the report by a newer one and resets the forward count.
   *
   * @param newReport the received report
   * @param newCreatedAtMs its creation time in milliseconds of the process's clock
   * @return true if the received report is newer and was stored
   */
  boolean update(final EndpointReport newReport, final long newCreatedAtMs) {
    if (!newReport.isNewerThan(report)) {
      return false;
    }
    report = newReport;
    createdAtMs = newCreatedAtMs;
    forwardCount = 0;
    return true;
  }
}
