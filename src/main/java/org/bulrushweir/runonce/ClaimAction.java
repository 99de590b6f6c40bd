package org.bulrushweir.runonce;

import org.bulrushweir.delivery.RefusalKind;

/** Something that has to be done for a claim. */
public sealed interface ClaimAction {

  /**
   * Write the row if it still has a version.
   *
   * @param row the new row
   * @param version the version it must have, zero if it must be absent
   */
  record Write(ClaimRow row, long version) implements ClaimAction {}

  /** Read the row. */
  record Read() implements ClaimAction {}

  /**
   * Wait, then say so.
   *
   * @param delayMs for how long, in milliseconds
   */
  record Wait(long delayMs) implements ClaimAction {}

  /** Run the request. */
  record Run() implements ClaimAction {}

  /**
   * Answer with the stored outcome of an earlier run.
   *
   * @param outcome the outcome
   */
  record Replay(ClaimOutcome outcome) implements ClaimAction {}

  /**
   * Tell the caller that the request was not run.
   *
   * @param kind why
   */
  record Refuse(RefusalKind kind) implements ClaimAction {}

  /**
   * Tell the caller that nobody knows whether the request ran.
   *
   * @param detail what happened
   */
  record ReplyUnknown(String detail) implements ClaimAction {}
}
