package org.bulrushweir.coldstart;

/** Tells why a gateway may send nothing to cold endpoints. */
public enum NoShareReason {
  /** The store has not listed this gateway's own registration yet. */
  NOT_REGISTERED("its registration has not been read back from the store"),
  /** The gateway has just started or resumed, so that peers may not count it yet. */
  STARTED_OR_RESUMED("it has just started or was held up"),
  /** No peer is heard, so that peers may have given its share to others. */
  ISOLATED("no peer is heard although others may be running");

  private final String description;

  NoShareReason(final String description) {
    this.description = description;
  }

  @Override
  public String toString() {
    return description;
  }
}
