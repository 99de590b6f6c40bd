package org.bulrushweir.delivery;

/**
 * Fault rates of a simulated delivery and switches for the mechanisms under test.
 *
 * @param lossRate the fraction of messages that are lost
 * @param duplicateRate the fraction of messages that arrive twice
 * @param delayRate the fraction of messages that are delayed until after their connection was
 *     replaced
 * @param breakRate the fraction of messages after which the connection breaks
 * @param engineFailureRate the probability, per token, that the engine fails
 * @param restartRate the probability, per token, that the sidecar restarts
 * @param refusalRate the fraction of attempts that are refused
 * @param tombstones whether the sidecar stores a tombstone for an attempt that is cancelled or
 *     resumed before it arrives
 * @param newestConnectionOnly whether the sidecar ignores messages over connections that were
 *     replaced
 */
record DeliveryFaults(
    double lossRate,
    double duplicateRate,
    double delayRate,
    double breakRate,
    double engineFailureRate,
    double restartRate,
    double refusalRate,
    boolean tombstones,
    boolean newestConnectionOnly) {

  /** No faults. */
  static final DeliveryFaults NONE = new DeliveryFaults(0, 0, 0, 0, 0, 0, 0, true, true);

  /** All kinds of faults, each at a low rate. */
  static final DeliveryFaults ALL =
      new DeliveryFaults(0.02, 0.05, 0.1, 0.03, 0.005, 0.002, 0.2, true, true);

  /**
   * Returns these faults with tombstones switched off.
   *
   * @return the changed faults
   */
  DeliveryFaults withoutTombstones() {
    return new DeliveryFaults(
        lossRate,
        duplicateRate,
        delayRate,
        breakRate,
        engineFailureRate,
        restartRate,
        refusalRate,
        false,
        newestConnectionOnly);
  }

  /**
   * Returns these faults with messages over replaced connections accepted.
   *
   * @return the changed faults
   */
  DeliveryFaults withStaleConnections() {
    return new DeliveryFaults(
        lossRate,
        duplicateRate,
        delayRate,
        breakRate,
        engineFailureRate,
        restartRate,
        refusalRate,
        tombstones,
        false);
  }
}
