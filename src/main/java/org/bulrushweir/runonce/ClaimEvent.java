package org.bulrushweir.runonce;

import org.bulrushweir.delivery.RefusalKind;

/** Something that happened to a claim. */
public sealed interface ClaimEvent {

  /**
   * The last write took effect.
   *
   * @param version the row's version now
   */
  record Written(long version) implements ClaimEvent {}

  /**
   * The row was read, or a write found it different.
   *
   * @param row the row, null if it is absent
   * @param version the row's version, zero if it is absent
   */
  record Found(ClaimRow row, long version) implements ClaimEvent {}

  /**
   * The table did not answer.
   *
   * @param effectPossible true if a write may have taken effect
   */
  record TableFailed(boolean effectPossible) implements ClaimEvent {}

  /**
   * The request ran.
   *
   * @param outcome its answer
   */
  record Ran(ClaimOutcome outcome) implements ClaimEvent {}

  /**
   * The request was not run after all.
   *
   * @param kind why
   */
  record NotRun(RefusalKind kind) implements ClaimEvent {}

  /**
   * The request may have run.
   *
   * @param detail what happened
   */
  record MayHaveRun(String detail) implements ClaimEvent {}

  /** The delay that the machine asked for is over. */
  record WaitElapsed() implements ClaimEvent {}
}
