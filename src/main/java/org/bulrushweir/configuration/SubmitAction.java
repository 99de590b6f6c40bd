package org.bulrushweir.configuration;

/** Something that has to be done for a submission. */
public sealed interface SubmitAction {

  /** Read the head row. */
  record ReadHead() implements SubmitAction {}

  /**
   * Store the text.
   *
   * @param head says where
   */
  record StoreText(ConfigHead head) implements SubmitAction {}

  /**
   * Move the head row and write the number's own row, in one transaction.
   *
   * @param head the new head
   * @param headVersion the version that the head row must have, zero if it must be absent
   */
  record Commit(ConfigHead head, long headVersion) implements SubmitAction {}

  /**
   * Wait, then do something.
   *
   * @param delayMs for how long, in milliseconds
   * @param next what to do
   */
  record WaitThen(long delayMs, SubmitAction next) implements SubmitAction {}

  /**
   * End the submission.
   *
   * @param result what became of it
   */
  record Finish(SubmitResult result) implements SubmitAction {}
}
