package org.bulrushweir.runonce;

/**
 * Says what goes wrong around a simulated claim.
 *
 * @param refusedRate the share of table calls that are refused without effect
 * @param lostRate the share of table calls that take effect but lose their answers
 * @param lateRate the share of writes that take effect long after the caller has given up waiting
 * @param freezeRate the share of steps before which the claimant is frozen for long
 * @param killRate the share of steps at which the claimant is killed
 * @param takeoverAfterMs after how many milliseconds a claim counts as lapsed, which is the
 *     mechanism switched off; {@link Long#MAX_VALUE} for never
 */
record ClaimFaults(
    double refusedRate,
    double lostRate,
    double lateRate,
    double freezeRate,
    double killRate,
    long takeoverAfterMs) {

  /** Everything goes wrong now and then. */
  static final ClaimFaults ALL = new ClaimFaults(0.1, 0.15, 0.05, 0.1, 0.03, Long.MAX_VALUE);

  /** Nothing goes wrong. */
  static final ClaimFaults NONE = new ClaimFaults(0, 0, 0, 0, 0, Long.MAX_VALUE);

  /**
   * Lets claims lapse.
   *
   * @param afterMs after how many milliseconds
   * @return the faults
   */
  ClaimFaults withLeases(final long afterMs) {
    return new ClaimFaults(refusedRate, lostRate, lateRate, freezeRate, killRate, afterMs);
  }
}
