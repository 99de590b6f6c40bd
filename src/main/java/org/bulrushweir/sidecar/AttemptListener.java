package org.bulrushweir.sidecar;

import org.bulrushweir.delivery.AttemptEnd;
import org.bulrushweir.delivery.RefusalKind;

/** Receives the progress and the end of attempts at the endpoint. */
interface AttemptListener {

  /**
   * Called when the engine has generated a token.
   *
   * @param attempt the attempt
   * @param intervalMs the time since the previous token of the same answer in milliseconds, zero
   *     for the first token
   */
  void onToken(AcceptedAttempt attempt, double intervalMs);

  /**
   * Called when the KV cache of a chat was imported from another endpoint.
   *
   * @param chat the chat's hash
   * @param tokens the number of tokens in the cache
   */
  void onCacheImported(long chat, int tokens);

  /**
   * Called when an attempt has ended after it may have run.
   *
   * @param attempt the attempt
   * @param end how it ended
   */
  void onEnd(AcceptedAttempt attempt, AttemptEnd end);

  /**
   * Called when an attempt that was started has turned out not to have run.
   *
   * @param attempt the attempt
   * @param kind the reason
   * @param detail the message for the caller
   */
  void onNotRun(AcceptedAttempt attempt, RefusalKind kind, String detail);
}
