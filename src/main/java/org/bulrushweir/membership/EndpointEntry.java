package org.bulrushweir.membership;

/** Keeps what is known of one endpoint. */
final class EndpointEntry {

  /** The latest report. */
  private EndpointReport report;

  /** The description, null if it is not known. */
  private EndpointInfo info;

  /** When the latest report was made, in milliseconds. */
  private long madeAtMs;

  /** How often the latest report was passed on. */
  private int forwarded;

  /**
   * Creates an entry.
   *
   * @param report the first report
   * @param madeAtMs when it was made, in milliseconds
   */
  EndpointEntry(final EndpointReport report, final long madeAtMs) {
    this.report = report;
    this.madeAtMs = madeAtMs;
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

  boolean isOf(final String service) {
    return info != null && info.service().value().equals(service);
  }

  long madeAtMs() {
    return madeAtMs;
  }

  int forwarded() {
    return forwarded;
  }

  void countForward() {
    forwarded++;
  }

  /**
   * Takes a report if it is later than the known one.
   *
   * @param newReport the report
   * @param newMadeAtMs when it was made, in milliseconds
   * @return true if it is later
   */
  boolean update(final EndpointReport newReport, final long newMadeAtMs) {
    if (!newReport.isNewerThan(report)) {
      return false;
    }
    report = newReport;
    madeAtMs = newMadeAtMs;
    forwarded = 0;
    return true;
  }
}
