package org.bulrushweir.store;

/** The kinds of calls with which a table is followed. */
public enum CallKind {
  /** Reads the whole table. */
  SNAPSHOT,
  /** Asks for changes, usually with a wait. */
  POLL,
  /** Asks for changes without a wait while a poll is waiting on another connection. */
  PROBE
}
