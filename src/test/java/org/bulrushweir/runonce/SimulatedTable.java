package org.bulrushweir.runonce;

import org.bulrushweir.simulation.EventQueue;

/** The platform's store, reduced to a single row. */
final class SimulatedTable {

  private final EventQueue queue;
  private ClaimRow row;
  private long version;
  private long claimedAtMs;

  SimulatedTable(final EventQueue queue) {
    this.queue = queue;
  }

  ClaimEvent read() {
    return new ClaimEvent.Found(row, version);
  }

  /**
   * Writes the row if its version is the expected one.
   *
   * @param newRow the new row
   * @param expected the expected version, zero if the row must be absent
   * @return the event that the claimant receives
   */
  ClaimEvent write(final ClaimRow newRow, final long expected) {
    if (expected != version) {
      return read();
    }
    row = newRow;
    version++;
    if (newRow.state() == ClaimState.CLAIMED) {
      claimedAtMs = queue.nowMs();
    }
    return new ClaimEvent.Written(version);
  }

  long claimedAtMs() {
    return claimedAtMs;
  }
}
