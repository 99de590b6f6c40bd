package org.bulrushweir.runonce;

/**
 * Fault rates of a simulated claim and the switch for the mechanism under test.
 *
 * @param refusedRate the fraction of table calls that fail without effect
 * @param lostRate the fraction of table calls that take effect but whose answers are lost
 * @param lateRate the fraction of writes that take effect long after the caller's timeout
 * @param freezeRate the probability, per action, that the claimant is paused before it
 * @param killRate the probability, per action, that the claimant is killed
 * @param expiryMs the age at which claims expire, in milliseconds; {@link Long#MAX_VALUE} for
 *     never, as in production
 */
record ClaimFaults(
    double refusedRate,
    double lostRate,
    double lateRate,
    double freezeRate,
    double killRate,
    long expiryMs) {

  /** All kinds of faults, each at a low rate. */
  static final ClaimFaults ALL = new ClaimFaults(0.1, 0.15, 0.05, 0.1, 0.03, Long.MAX_VALUE);

  /** No faults. */
  static final ClaimFaults NONE = new ClaimFaults(0, 0, 0, 0, 0, Long.MAX_VALUE);

  /**
   * Returns these faults with claims that expire, as leases do.
   *
   * @param afterMs the age at which claims expire, in milliseconds
   * @return the changed faults
   */
  ClaimFaults withLeases(final long afterMs) {
    return new ClaimFaults(refusedRate, lostRate, lateRate, freezeRate, killRate, afterMs);
  }
}
