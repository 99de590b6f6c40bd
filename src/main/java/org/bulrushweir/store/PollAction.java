package org.bulrushweir.store;

/** What to do about a poll that is waiting for changes. */
public enum PollAction {
  /** Goes on waiting. */
  KEEP("it waits for changes"),
  /** Asks the store on another connection as well, and goes on waiting. */
  PROBE("the last confirmation is old"),
  /** Abandons the poll; its connection has not delivered a change that a peer has read. */
  ABANDON_PEER_AHEAD("a peer has read a newer version"),
  /** Abandons the poll; the store may have been restored. */
  ABANDON_OTHER_ERA("a peer has read another era"),
  /** Abandons the poll; its wait is too long for a gateway without peers. */
  ABANDON_PEERS_SILENT("no peer reports any more"),
  /** Abandons the poll; its connection has not delivered the answer due at the end of its wait. */
  ABANDON_OVERDUE("its answer is overdue and the store has answered others since");

  private final String reason;

  PollAction(final String reason) {
    this.reason = reason;
  }

  /**
   * Returns whether the poll is to be abandoned and the store to be asked without a wait.
   *
   * @return false if the poll goes on
   */
  public boolean abandons() {
    return this != KEEP && this != PROBE;
  }

  /**
   * Returns the reason.
   *
   * @return the reason, for the log
   */
  public String reason() {
    return reason;
  }
}
