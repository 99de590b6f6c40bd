package org.bulrushweir.runonce;

import org.bulrushweir.delivery.RefusalKind;

/** Event that is passed to {@link ClaimMachine}. */
public sealed interface ClaimEvent {

  /**
   * The most recent write took effect.
   *
   * @param version the row's new version
   */
  record Written(long version) implements ClaimEvent {}

  /**
   * The row was read, or a write found another version than the expected one.
   *
   * @param row the row, null if it is absent
   * @param version the row's version, zero if it is absent
   */
  record Found(ClaimRow row, long version) implements ClaimEvent {}

  /**
   * A read or write of the platform's store failed or was not answered in time.
   *
   * @param effectPossible whether a write may have taken effect, or may still do so
   */
  record StoreFailed(boolean effectPossible) implements ClaimEvent {}

  /**
   * The request ran.
   *
   * @param outcome the answer
   */
  record Ran(ClaimOutcome outcome) implements ClaimEvent {}

  /**
   * The request was not run, although it was claimed.
   *
   * @param kind the reason
   */
  record NotRun(RefusalKind kind) implements ClaimEvent {}

  /**
   * The request may have run; its answer is not known.
   *
   * @param detail a description of the failure
   */
  record MayHaveRun(String detail) implements ClaimEvent {}

  /** The wait that the state machine requested is over. */
  record WaitElapsed() implements ClaimEvent {}
}
