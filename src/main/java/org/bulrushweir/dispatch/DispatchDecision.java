package org.bulrushweir.dispatch;

/** What happens to a request that has arrived. */
public sealed interface DispatchDecision {

  /** It is sent at once. */
  record SendNow() implements DispatchDecision {}

  /**
   * It waits for its turn.
   *
   * @param estimatedMs the expected wait, in milliseconds
   */
  record Wait(long estimatedMs) implements DispatchDecision {}

  /**
   * It is rejected and has not run.
   *
   * @param reason the reason
   * @param retryAfterMs the delay after which the caller may return, in milliseconds
   * @param detail the values that decided, for the log
   */
  record Reject(RejectionReason reason, long retryAfterMs, String detail)
      implements DispatchDecision {}
}
