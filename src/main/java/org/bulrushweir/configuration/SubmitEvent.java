package org.bulrushweir.configuration;

/** Event that is passed to {@link SubmitMachine}. */
public sealed interface SubmitEvent {

  /**
   * The head row was read.
   *
   * @param head the content of the head row, with number zero if the row is absent
   * @param version the version of the head row, zero if it is absent
   */
  record HeadRead(ConfigHead head, long version) implements SubmitEvent {}

  /** The text was stored. */
  record TextStored() implements SubmitEvent {}

  /** The transaction was committed. */
  record Committed() implements SubmitEvent {}

  /**
   * The transaction conflicted because the head row had changed. The change may be an earlier
   * commit of this submission whose answer was lost.
   *
   * @param committedHead the row of the number that this submission tried to commit, null if it is
   *     absent
   */
  record Conflicted(ConfigHead committedHead) implements SubmitEvent {}

  /**
   * A call to the platform failed or was not answered in time.
   *
   * @param effectPossible whether a write may have taken effect, or may still do so
   * @param message a description of the failure
   */
  record Failed(boolean effectPossible, String message) implements SubmitEvent {}
}
