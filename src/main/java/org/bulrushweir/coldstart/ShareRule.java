package org.bulrushweir.coldstart;

/**
 * Divides the bound of a cold endpoint among the gateways.
 *
 * <p>The bound is a row of slots, one request each. Gateways are ranked for each endpoint by
 * rendezvous hashing, and slot {@code s} belongs to the gateway of rank {@code s mod divisor}. In a
 * small fleet every gateway has several slots; in one with more gateways than slots only those of
 * the first ranks have one. Both the number of slots and the divisor leave room for gateways that
 * are missing from some views: as long as no view lacks more of the running gateways than its
 * headroom, all shares together stay within the bound (docs/design/cold-endpoints.md).
 */
final class ShareRule {

  /** The number of gateways for each of which the headroom grows by one. */
  private static final int GATEWAYS_PER_HEADROOM = 6;

  /** The largest headroom, in gateways. A larger one would leave less than the rate of the plan. */
  private static final int MAX_HEADROOM = 6;

  /** The part of the bound that the headroom may take at most is one in this number. */
  private static final int HEADROOM_DIVISOR = 4;

  private ShareRule() {}

  /**
   * Returns the number of running gateways that may be missing from a view.
   *
   * @param bound the requests that all gateways together may send
   * @param gateways the number of gateways in the view, including this one
   * @return the headroom
   */
  static int headroom(final int bound, final int gateways) {
    final int wanted = Math.min(MAX_HEADROOM, 1 + gateways / GATEWAYS_PER_HEADROOM);
    return Math.min(wanted, bound / HEADROOM_DIVISOR);
  }

  /**
   * Returns the share of a gateway.
   *
   * @param bound the requests that all gateways together may send
   * @param gateways the number of gateways in this gateway's view, including itself
   * @param rank the rank of this gateway in its view, the first is zero
   * @return the number of requests that it may send
   */
  static int share(final int bound, final int gateways, final int rank) {
    final int headroom = headroom(bound, gateways);
    final int slots = bound - headroom;
    return rank >= slots ? 0 : Math.ceilDiv(slots - rank, gateways + headroom);
  }
}
