package org.bulrushweir.configuration;

import java.util.OptionalLong;
import org.bulrushweir.api.ConfigNumber;

/**
 * State machine of the submission of one configuration text. The text is accepted once the head row
 * ({@link ConfigHead}) contains the number and nonce of this submission. A commit whose answer is
 * lost is repeated until the platform reports which submission the number was assigned to.
 */
public final class SubmitMachine {

  /** The time to wait before a failed call to the platform is repeated, in milliseconds. */
  private static final long RETRY_INTERVAL_MS = 500;

  /** The maximum number of failed attempts to store the text, after which the submission fails. */
  private static final int MAXIMUM_FAILED_STORES = 4;

  /** The maximum number of commits sent, after which the result of the submission is unknown. */
  private static final int MAXIMUM_COMMITS = 20;

  /** The SHA-256 digest of the text, in hexadecimal. */
  private final String digest;

  /** The nonce that identifies this submission. */
  private final String nonce;

  /** The number of the configuration that the text was edited from, empty if the text has none. */
  private final OptionalLong base;

  /** The commit of this submission, null before the head row was read. */
  private SubmitAction.Commit commit;

  /** The number of failed attempts to store the text. */
  private int failedStores;

  /** The number of commits sent. */
  private int sentCommits;

  /** Whether a commit whose answer was lost may have taken effect. */
  private boolean effectPossible;

  /**
   * Creates the state machine of a submission.
   *
   * @param digest the SHA-256 digest of the text, in hexadecimal
   * @param nonce the nonce that identifies this submission
   * @param base the number of the configuration that the text was edited from, empty if the text
   *     has none
   */
  public SubmitMachine(final String digest, final String nonce, final OptionalLong base) {
    this.digest = digest;
    this.nonce = nonce;
    this.base = base;
  }

  /**
   * Starts the submission by reading the head row.
   *
   * @return the action to carry out
   */
  public SubmitAction start() {
    return new SubmitAction.ReadHead();
  }

  /**
   * Processes an event.
   *
   * @param event the event
   * @return the action to carry out
   */
  public SubmitAction on(final SubmitEvent event) {
    return switch (event) {
      case SubmitEvent.HeadRead read -> headRead(read);
      case SubmitEvent.TextStored stored -> sendCommit();
      case SubmitEvent.Committed committed -> accepted();
      case SubmitEvent.Conflicted conflicted -> conflicted(conflicted.committedHead());
      case SubmitEvent.Failed failed -> failed(failed);
    };
  }

  private SubmitAction headRead(final SubmitEvent.HeadRead read) {
    final long current = read.head().number();
    if (base.isEmpty() && current > 0) {
      return new SubmitAction.Finish(new SubmitResult.BaseMissing(current));
    }
    if (base.isPresent() && base.getAsLong() != current) {
      return new SubmitAction.Finish(new SubmitResult.Conflict(base.getAsLong(), current));
    }
    final ConfigHead next = new ConfigHead(current + 1, digest, nonce);
    commit = new SubmitAction.Commit(next, read.version());
    return new SubmitAction.StoreText(next);
  }

  private SubmitAction sendCommit() {
    sentCommits++;
    return commit;
  }

  private SubmitAction accepted() {
    return new SubmitAction.Finish(
        new SubmitResult.Accepted(new ConfigNumber(commit.head().number())));
  }

  private SubmitAction conflicted(final ConfigHead own) {
    if (own != null && own.nonce().equals(nonce)) {
      return accepted();
    }
    final long committedNumber = commit.head().number();
    return new SubmitAction.Finish(new SubmitResult.Conflict(committedNumber - 1, committedNumber));
  }

  /**
   * Stores the text again, or ends the submission after too many failures. Repeating is safe, since
   * no row refers to the text yet.
   */
  private SubmitAction retryStore(final String message) {
    failedStores++;
    if (failedStores >= MAXIMUM_FAILED_STORES) {
      return new SubmitAction.Finish(new SubmitResult.Unavailable(message));
    }
    return new SubmitAction.WaitThen(RETRY_INTERVAL_MS, new SubmitAction.StoreText(commit.head()));
  }

  private SubmitAction failed(final SubmitEvent.Failed failed) {
    if (commit == null) {
      return new SubmitAction.Finish(new SubmitResult.Unavailable(failed.message()));
    }
    if (sentCommits == 0) {
      return retryStore(failed.message());
    }
    effectPossible |= failed.effectPossible();
    if (!effectPossible) {
      return new SubmitAction.Finish(new SubmitResult.Unavailable(failed.message()));
    }
    if (sentCommits >= MAXIMUM_COMMITS) {
      return new SubmitAction.Finish(new SubmitResult.Unknown(failed.message()));
    }
    return new SubmitAction.WaitThen(RETRY_INTERVAL_MS, sendCommit());
  }
}
