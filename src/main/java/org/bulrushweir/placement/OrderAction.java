package org.bulrushweir.placement;

/** Something that has to be done on the way to an order. */
public sealed interface OrderAction {

  /** Ask the engine for its state. */
  record ReadEngine() implements OrderAction {}

  /** Acquire the right to give orders, with a new fencing number. */
  record AcquireFence() implements OrderAction {}

  /**
   * Check that the right to give orders is still held.
   *
   * @param number the fencing number
   */
  record CheckFence(long number) implements OrderAction {}

  /** Ask for a permit of the weight store. */
  record RequestPermit() implements OrderAction {}

  /**
   * Give an order.
   *
   * @param number the fencing number
   * @param model the model
   * @param load true to load it, false to unload it
   */
  record GiveOrder(long number, LoadedModel model, boolean load) implements OrderAction {}
}
