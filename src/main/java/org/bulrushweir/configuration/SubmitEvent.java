package org.bulrushweir.configuration;

/** Something that happened to a submission. */
public sealed interface SubmitEvent {

  /**
   * The head row was read.
   *
   * @param head the head, with number zero if there is none
   * @param version the version of its row, zero if there is none
   */
  record HeadRead(ConfigHead head, long version) implements SubmitEvent {}

  /** The text was stored. */
  record TextStored() implements SubmitEvent {}

  /** The head row was moved. */
  record Committed() implements SubmitEvent {}

  /**
   * The head row was found moved by somebody; this may have been this submission's own commit whose
   * answer was lost.
   *
   * @param own the row of the number that this submission wants, null if there is none
   */
  record Conflicted(ConfigHead own) implements SubmitEvent {}

  /**
   * The platform did not answer.
   *
   * @param effectPossible true if a write may have taken effect
   * @param message what happened
   */
  record Failed(boolean effectPossible, String message) implements SubmitEvent {}
}
