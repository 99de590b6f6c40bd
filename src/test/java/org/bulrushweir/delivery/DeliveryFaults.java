package org.bulrushweir.delivery;

/**
 * Says what goes wrong in a simulated delivery.
 *
 * @param lossRate the share of messages that are lost
 * @param duplicateRate the share of messages that come twice
 * @param holdRate the share of messages that are held back until their connection is old
 * @param breakRate the share of messages after which the connection breaks
 * @param engineFailureRate the share of tokens after which the engine fails
 * @param restartRate the share of tokens after which the sidecar restarts
 * @param refusalRate the share of attempts that are refused
 * @param tombstones whether unseen attempts are noted as not run when they are asked after
 * @param newestConnectionOnly whether messages over old connections are void
 */
record DeliveryFaults(
    double lossRate,
    double duplicateRate,
    double holdRate,
    double breakRate,
    double engineFailureRate,
    double restartRate,
    double refusalRate,
    boolean tombstones,
    boolean newestConnectionOnly) {

  /** Nothing goes wrong. */
  static final DeliveryFaults NONE = new DeliveryFaults(0, 0, 0, 0, 0, 0, 0, true, true);

  /** Everything goes wrong now and then. */
  static final DeliveryFaults ALL =
      new DeliveryFaults(0.02, 0.05, 0.1, 0.03, 0.005, 0.002, 0.2, true, true);

  /**
   * Switches off the noting of unseen attempts.
   *
   * @return the faults
   */
  DeliveryFaults withoutTombstones() {
    return new DeliveryFaults(
        lossRate,
        duplicateRate,
        holdRate,
        breakRate,
        engineFailureRate,
        restartRate,
        refusalRate,
        false,
        newestConnectionOnly);
  }

  /**
   * Lets messages over old connections count.
   *
   * @return the faults
   */
  DeliveryFaults withOldConnections() {
    return new DeliveryFaults(
        lossRate,
        duplicateRate,
        holdRate,
        breakRate,
        engineFailureRate,
        restartRate,
        refusalRate,
        tombstones,
        false);
  }
}
