package org.bulrushweir.runonce;

import org.bulrushweir.simulation.EventQueue;

/** The platform's table, reduced to one row. */
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
   * Writes the row if it has a version.
   *
   * @param newRow the new row
   * @param expected the version that it must have
   * @return what a claimant hears
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
