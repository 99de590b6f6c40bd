package org.bulrushweir.configuration;

import java.util.OptionalLong;
import org.bulrushweir.api.ConfigNumber;

/**
 * Brings a text to acceptance. The text is accepted once the head row carries its number; a commit
 * whose answer is lost is repeated until the platform says which submission has got the number.
 */
public final class SubmitMachine {

  /** How long to wait after the platform did not answer, in milliseconds. */
  private static final long RETRY_INTERVAL_MS = 500;

  /** How often the text is stored before the submission is given up. */
  private static final int MAXIMUM_STORES = 4;

  /** How often a commit is repeated after its answer was lost. */
  private static final int MAXIMUM_COMMITS = 20;

  /** The digest of the text. */
  private final String digest;

  /** Identifies this submission. */
  private final String nonce;

  /** The number that the text was edited from, empty if it is the first text. */
  private final OptionalLong base;

  /** The commit under way, null before the head was read. */
  private SubmitAction.Commit commit;

  /** How often storing the text has failed. */
  private int stores;

  /** How many commits were sent. */
  private int commits;

  /** Whether a commit may have taken effect without an answer. */
  private boolean effectPossible;

  /**
   * Creates a machine.
   *
   * @param digest the digest of the text
   * @param nonce identifies this submission
   * @param base the number that the text was edited from, empty if it is the first text
   */
  public SubmitMachine(final String digest, final String nonce, final OptionalLong base) {
    this.digest = digest;
    this.nonce = nonce;
    this.base = base;
  }

  /**
   * Starts the submission.
   *
   * @return what to do
   */
  public SubmitAction start() {
    return new SubmitAction.ReadHead();
  }

  /**
   * Takes an event.
   *
   * @param event the event
   * @return what to do
   */
  public SubmitAction on(final SubmitEvent event) {
    return switch (event) {
      case SubmitEvent.HeadRead read -> headRead(read);
      case SubmitEvent.TextStored stored -> sendCommit();
      case SubmitEvent.Committed committed -> accepted();
      case SubmitEvent.Conflicted conflicted -> conflicted(conflicted.own());
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
    commits++;
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
    final long wanted = commit.head().number();
    return new SubmitAction.Finish(new SubmitResult.Conflict(wanted - 1, wanted));
  }

  /** Stores the text again, which does no harm, since nothing refers to it yet. */
  private SubmitAction storeAgain(final String message) {
    stores++;
    if (stores >= MAXIMUM_STORES) {
      return new SubmitAction.Finish(new SubmitResult.Unavailable(message));
    }
    return new SubmitAction.WaitThen(RETRY_INTERVAL_MS, new SubmitAction.StoreText(commit.head()));
  }

  private SubmitAction failed(final SubmitEvent.Failed failed) {
    if (commit == null) {
      return new SubmitAction.Finish(new SubmitResult.Unavailable(failed.message()));
    }
    if (commits == 0) {
      return storeAgain(failed.message());
    }
    effectPossible |= failed.effectPossible();
    if (!effectPossible) {
      return new SubmitAction.Finish(new SubmitResult.Unavailable(failed.message()));
    }
    if (commits >= MAXIMUM_COMMITS) {
      return new SubmitAction.Finish(new SubmitResult.Unknown(failed.message()));
    }
    return new SubmitAction.WaitThen(RETRY_INTERVAL_MS, sendCommit());
  }
}
