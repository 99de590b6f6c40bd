package org.bulrushweir.dispatch;

/**
 * The settings of queueing at a gateway.
 *
 * @param queue whether requests wait at the gateway while their service has no room
 * @param slotMultiple the number of requests that endpoints may have, as a multiple of their slots
 */
public record DispatchSettings(boolean queue, double slotMultiple) {

  /** Every request is sent at once. */
  public static final DispatchSettings OFF = new DispatchSettings(false, 1.5);
}
