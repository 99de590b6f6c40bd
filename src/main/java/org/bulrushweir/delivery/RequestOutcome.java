package org.bulrushweir.delivery;

import org.bulrushweir.api.EndpointId;

/** What became of a request; the caller is told just this. */
public sealed interface RequestOutcome {

  /**
   * The request ran and its whole answer was passed on.
   *
   * @param summary the answer's summary
   * @param endpoint the endpoint that ended the answer
   */
  record Ran(AnswerSummary summary, EndpointId endpoint) implements RequestOutcome {}

  /**
   * The request was not run and never will be.
   *
   * @param kind why
   * @param retryAfterMs when the caller may try again, in milliseconds, zero if unknown
   * @param detail a message for the caller
   */
  record NotRun(RefusalKind kind, long retryAfterMs, String detail) implements RequestOutcome {}

  /**
   * Nobody can tell whether the request ran, or it ran and its answer can't be completed.
   *
   * @param detail a message for the caller
   */
  record Unknown(String detail) implements RequestOutcome {}
}
