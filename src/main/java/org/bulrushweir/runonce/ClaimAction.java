package org.bulrushweir.runonce;

import org.bulrushweir.delivery.RefusalKind;

/** Action that the caller of {@link ClaimMachine} carries out. */
public sealed interface ClaimAction {

  /**
   * Writes the row if its version is still the expected one (compare-and-set).
   *
   * @param row the new row
   * @param version the expected version, zero if the row must be absent
   */
  record Write(ClaimRow row, long version) implements ClaimAction {}

  /** Reads the row. */
  record Read() implements ClaimAction {}

  /**
   * Waits, then reports the end of the wait.
   *
   * @param delayMs the time to wait, in milliseconds
   */
  record Wait(long delayMs) implements ClaimAction {}

  /** Runs the request. */
  record Run() implements ClaimAction {}

  /**
   * Answers with the stored outcome of an earlier request with the same key.
   *
   * @param outcome the stored outcome
   */
  record Replay(ClaimOutcome outcome) implements ClaimAction {}

  /**
   * Reports to the caller that the request was not run.
   *
   * @param kind the reason
   */
  record Refuse(RefusalKind kind) implements ClaimAction {}

  /**
   * Reports to the caller that it is unknown whether the request ran.
   *
   * @param detail a message for the caller
   */
  record ReplyUnknown(String detail) implements ClaimAction {}
}
