package org.bulrushweir.delivery;

import org.bulrushweir.api.EndpointId;

/** Something that happened to a request at the router. */
public sealed interface RequestEvent {

  /**
   * An endpoint has queued or started an attempt.
   *
   * @param attempt the attempt
   * @param firstTokenInMs when the endpoint expects the first token, in milliseconds from now, zero
   *     if it does not know
   */
  record Accepted(int attempt, long firstTokenInMs) implements RequestEvent {}

  /**
   * An endpoint has not run an attempt and never will.
   *
   * @param attempt the attempt
   * @param kind why
   * @param retryAfterMs when the caller may try again, zero if unknown
   * @param movedTo where the chat's cache is, null if unknown
   * @param cachedTokens how many tokens of the chat the refusing endpoint has in its cache
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
   * A part of an answer has come.
   *
   * @param attempt the attempt
   * @param sequence the part's sequence number
   * @param part the part
   */
  record PartArrived(int attempt, int sequence, AnswerPart part) implements RequestEvent {}

  /**
   * An answer has ended.
   *
   * @param attempt the attempt
   * @param end how it ended
   */
  record Ended(int attempt, AttemptEnd end) implements RequestEvent {}

  /**
   * The connection over which an attempt was sent is gone or silent.
   *
   * @param attempt the attempt
   */
  record ConnectionLost(int attempt) implements RequestEvent {}

  /**
   * A sidecar has answered a request to resume.
   *
   * @param attempt the attempt
   * @param answer the answer
   */
  record ResumeAnswered(int attempt, ResumeAnswer answer) implements RequestEvent {}

  /**
   * A sidecar has answered a cancellation.
   *
   * @param attempt the attempt
   * @param notStarted true if the attempt was not started and never will be
   */
  record CancelAnswered(int attempt, boolean notStarted) implements RequestEvent {}

  /** The caller has gone away. */
  record CallerDisconnected() implements RequestEvent {}

  /** Time has passed. */
  record Tick() implements RequestEvent {}
}
