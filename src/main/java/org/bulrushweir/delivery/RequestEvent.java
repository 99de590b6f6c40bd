package org.bulrushweir.delivery;

import org.bulrushweir.api.EndpointId;

/** Event that the router passes to {@link RequestMachine}. */
public sealed interface RequestEvent {

  /**
   * An endpoint has queued or started an attempt.
   *
   * @param attempt the attempt's number
   * @param firstTokenInMs the time until the endpoint expects the first token, in milliseconds,
   *     zero if it has no estimate
   */
  record Accepted(int attempt, long firstTokenInMs) implements RequestEvent {}

  /**
   * An endpoint has not run an attempt and never will.
   *
   * @param attempt the attempt's number
   * @param kind the reason
   * @param retryAfterMs the time after which the caller may retry, in milliseconds, zero if unknown
   * @param movedTo the endpoint that has the chat's KV cache, null if unknown
   * @param cachedTokens the number of the chat's tokens in the KV cache of the refusing endpoint
   * @param detail a message for the caller
   */
  record Refused(
      int attempt,
      RefusalKind kind,
      long retryAfterMs,
      EndpointId movedTo,
      int cachedTokens,
      String detail)
      implements RequestEvent {}

  /**
   * A part of an answer has arrived.
   *
   * @param attempt the attempt's number
   * @param sequence the part's sequence number
   * @param part the part
   */
  record PartArrived(int attempt, int sequence, AnswerPart part) implements RequestEvent {}

  /**
   * An answer has ended.
   *
   * @param attempt the attempt's number
   * @param end how it ended
   */
  record Ended(int attempt, AttemptEnd end) implements RequestEvent {}

  /**
   * The connection over which an attempt was sent was closed, or nothing was received over it for
   * too long.
   *
   * @param attempt the attempt's number
   */
  record ConnectionLost(int attempt) implements RequestEvent {}

  /**
   * A sidecar has answered a {@link RequestAction.Resume}.
   *
   * @param attempt the attempt's number
   * @param answer whether the sidecar will send the rest of the attempt's answer
   */
  record ResumeAnswered(int attempt, ResumeAnswer answer) implements RequestEvent {}

  /**
   * A sidecar has answered a {@link RequestAction.Cancel}.
   *
   * @param attempt the attempt's number
   * @param notStarted whether the attempt was not started and never will be
   */
  record CancelAnswered(int attempt, boolean notStarted) implements RequestEvent {}

  /** The caller has closed its connection. */
  record CallerDisconnected() implements RequestEvent {}

  /** Timers may have expired; see {@link RequestMachine#nextTickMs}. */
  record Tick() implements RequestEvent {}
}
