package org.bulrushweir.configuration;

/** Action that the caller of {@link SubmitMachine} carries out. */
public sealed interface SubmitAction {

  /** Reads the head row. */
  record ReadHead() implements SubmitAction {}

  /**
   * Stores the text in the platform's object store.
   *
   * @param head determines the key of the text's object
   */
  record StoreText(ConfigHead head) implements SubmitAction {}

  /**
   * Replaces the head row and writes the row of the new number, in one transaction.
   *
   * @param head the new content of both rows
   * @param headVersion the version that the head row is expected to have, zero if it must be absent
   */
  record Commit(ConfigHead head, long headVersion) implements SubmitAction {}

  /**
   * Waits, then carries out another action.
   *
   * @param delayMs the time to wait, in milliseconds
   * @param next the action to carry out afterwards
   */
  record WaitThen(long delayMs, SubmitAction next) implements SubmitAction {}

  /**
   * Ends the submission.
   *
   * @param result the result of the submission
   */
  record Finish(SubmitResult result) implements SubmitAction {}
}
