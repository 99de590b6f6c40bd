package org.bulrushweir.soak;

/**
 * What a soak is like.
 *
 * @param seed the seed of its schedule and of all behaviour
 * @param lengthMs how long faults are injected, in milliseconds
 * @param gateways the number of gateways
 * @param endpoints the number of endpoints
 * @param callers the number of callers
 * @param stuttering whether endpoints repeat answers that they gave
 * @param sabotage what broken gateways do; none for processes of the binary
 */
record SoakOptions(
    long seed,
    long lengthMs,
    int gateways,
    int endpoints,
    int callers,
    boolean stuttering,
    Sabotage sabotage) {

  /**
   * Reads the options of processes from the system properties {@code soak.*}.
   *
   * @param seed the seed
   * @param seconds how long faults are injected, in seconds
   * @return the options
   */
  static SoakOptions ofProperties(final long seed, final int seconds) {
    return new SoakOptions(
        seed,
        seconds * 1_000L,
        Integer.getInteger("soak.gateways", 3),
        Integer.getInteger("soak.endpoints", 9),
        Integer.getInteger("soak.callers", 24),
        !"false".equals(System.getProperty("soak.stutter")),
        Sabotage.NO_SABOTAGE);
  }
}
