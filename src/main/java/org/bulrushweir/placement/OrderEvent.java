package org.bulrushweir.placement;

import java.util.List;

/** Something that happened on the way to an order. */
public sealed interface OrderEvent {

  /**
   * The engine has told its state.
   *
   * @param loaded the models that it has loaded
   */
  record EngineRead(List<LoadedModel> loaded) implements OrderEvent {}

  /**
   * The right to give orders was acquired, or found to be still held.
   *
   * @param number the fencing number
   */
  record FenceHeld(long number) implements OrderEvent {}

  /** A later sidecar holds the right to give orders. */
  record FenceLost() implements OrderEvent {}

  /** A permit of the weight store was granted. */
  record PermitGranted() implements OrderEvent {}

  /** No permit of the weight store is left for now. */
  record PermitDenied() implements OrderEvent {}

  /** The engine has carried out the order. */
  record OrderDone() implements OrderEvent {}

  /** The engine has refused the order because of its fencing number. */
  record OrderRefused() implements OrderEvent {}

  /** The engine or the platform did not answer. */
  record Failed() implements OrderEvent {}

  /** Time has passed. */
  record Tick() implements OrderEvent {}
}
