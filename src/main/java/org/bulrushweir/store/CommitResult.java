package org.bulrushweir.store;

/** Tells what became of a transaction that the platform has answered. */
public sealed interface CommitResult {

  /**
   * The transaction took effect.
   *
   * @param version the version that the written rows have now
   */
  record Committed(long version) implements CommitResult {}

  /**
   * A condition did not hold; nothing was written.
   *
   * @param current the row that differs, as it is now
   */
  record Conflict(Row current) implements CommitResult {}
}
