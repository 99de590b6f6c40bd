package org.bulrushweir.placement;

/** Action that the sidecar carries out for {@link OrderMachine}. */
public sealed interface OrderAction {

  /** Reads the engine's state. */
  record ReadEngine() implements OrderAction {}

  /**
   * Acquires the right to give orders, with a new fencing token unless this incarnation already
   * holds one.
   */
  record AcquireFence() implements OrderAction {}

  /**
   * Checks that the right to give orders is still held.
   *
   * @param number the fencing token of this sidecar
   */
  record CheckFence(long number) implements OrderAction {}

  /** Requests a permit to load from the weight store. */
  record RequestPermit() implements OrderAction {}

  /**
   * Sends an order to the engine.
   *
   * @param number the fencing token of this sidecar
   * @param model the model to load or unload
   * @param load true to load it, false to unload it
   */
  record GiveOrder(long number, LoadedModel model, boolean load) implements OrderAction {}
}
