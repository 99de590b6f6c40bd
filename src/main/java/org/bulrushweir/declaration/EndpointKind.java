package org.bulrushweir.declaration;

/** Kinds of endpoints. */
public enum EndpointKind {
  /** A model engine that accepts orders to load models, exports its cache and reports its load. */
  ENGINE,
  /** A model server that answers chats and reports its load, but accepts no orders. */
  RUNNER,
  /** A plain service without models. */
  SERVICE;

  /**
   * Returns whether endpoints of this kind answer chats.
   *
   * @return true for engines and runners
   */
  public boolean supportsChat() {
    return this != SERVICE;
  }
}
