package org.bulrushweir.delivery;

import org.bulrushweir.api.EndpointId;

/** Outcome of a request, as it is reported to the caller. */
public sealed interface RequestOutcome {

  /**
   * The request ran and its complete answer was forwarded.
   *
   * @param summary the answer's summary
   * @param endpoint the endpoint that completed the answer
   */
  record Ran(AnswerSummary summary, EndpointId endpoint) implements RequestOutcome {}

  /**
   * The request was not run and never will be.
   *
   * @param kind the reason
   * @param retryAfterMs the time after which the caller may retry, in milliseconds, zero if unknown
   * @param detail a message for the caller
   */
  record NotRun(RefusalKind kind, long retryAfterMs, String detail) implements RequestOutcome {}

  /**
   * It is unknown whether the request ran, or it ran and its answer can't be completed.
   *
   * @param detail a message for the caller
   */
  record Unknown(String detail) implements RequestOutcome {}
}
