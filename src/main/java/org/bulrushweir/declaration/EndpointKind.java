package org.bulrushweir.declaration;

/** The kinds of endpoints. */
public enum EndpointKind {
  /** A model engine that takes orders, exports its cache and reports load. */
  ENGINE,
  /** A model server that answers chats and reports load but takes no orders. */
  RUNNER,
  /** A plain service. */
  SERVICE;

  /**
   * Tells whether endpoints of this kind answer chats.
   *
   * @return true for engines and runners
   */
  public boolean supportsChat() {
    return this != SERVICE;
  }
}
