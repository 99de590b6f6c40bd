package org.bulrushweir.sidecar;

import org.bulrushweir.delivery.AttemptEnd;
import org.bulrushweir.delivery.RefusalKind;

/** Hears how runs go at the endpoint. */
interface AttemptListener {

  /**
   * A token was generated.
   *
   * @param run the run
   * @param intervalMs how long it took since the one before it in the same answer, zero for the
   *     first one
   */
  void token(AcceptedAttempt run, double intervalMs);

  /**
   * The cache of a chat was brought here from another endpoint.
   *
   * @param chat the chat's hash
   * @param tokens how many tokens it has
   */
  void cacheBrought(long chat, int tokens);

  /**
   * A run has ended.
   *
   * @param run the run
   * @param end how it ended
   */
  void ended(AcceptedAttempt run, AttemptEnd end);

  /**
   * A run turned out not to run.
   *
   * @param run the run
   * @param kind why
   * @param detail a message for the caller
   */
  void notRun(AcceptedAttempt run, RefusalKind kind, String detail);
}
