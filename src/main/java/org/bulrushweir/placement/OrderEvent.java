package org.bulrushweir.placement;

import java.util.List;

/** Event that the sidecar passes to {@link OrderMachine}. */
public sealed interface OrderEvent {

  /**
   * The engine's state was read.
   *
   * @param loaded the models that the engine has loaded
   */
  record EngineRead(List<LoadedModel> loaded) implements OrderEvent {}

  /**
   * The right to give orders was acquired, or a check showed that it is still held.
   *
   * @param number the fencing token of this sidecar
   */
  record FenceHeld(long number) implements OrderEvent {}

  /** A later incarnation of the sidecar holds the right to give orders. */
  record FenceLost() implements OrderEvent {}

  /** A permit of the weight store was granted. */
  record PermitGranted() implements OrderEvent {}

  /** No permit of the weight store is available at present. */
  record PermitDenied() implements OrderEvent {}

  /** The engine has carried out the order. */
  record OrderDone() implements OrderEvent {}

  /** The engine has refused the order because it has received one with a greater fencing token. */
  record OrderRefused() implements OrderEvent {}

  /** A call to the engine or the platform failed. */
  record Failed() implements OrderEvent {}

  /** Triggers the next reading of the engine's state, if it is due. */
  record Tick() implements OrderEvent {}
}
