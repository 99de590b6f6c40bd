package org.bulrushweir.soak;

/** How a gateway of the tests is broken, to show that the soak notices. */
enum Sabotage {
  /** Processes of the real binary are used. */
  NO_SABOTAGE(null),
  /** It works. */
  NOTHING(null),
  /** It answers with the answer to another request. */
  FOREIGN_ANSWER(Promise.OWN_ANSWER),
  /** It cuts the end of an answer off, as if it were whole. */
  CUT_ANSWER(Promise.OWN_ANSWER),
  /** It answers twice. */
  ANSWERS_TWICE(Promise.NO_STRAY_BYTES),
  /** It leaves an event of a stream out. */
  SKIPS_EVENT(Promise.STREAM_ORDER),
  /** It joins the streams of two runs. */
  JOINS_STREAMS(Promise.STREAM_ORDER),
  /** It changes the body of a request. */
  CHANGES_BODY(Promise.UNCHANGED_REQUEST),
  /** It sends a request twice. */
  SENDS_TWICE(Promise.RUNS_ONCE),
  /** It refuses a request that ran. */
  REFUSES_AFTER_RUN(Promise.TRUE_REFUSAL),
  /** It refuses a request and sends it later. */
  SENDS_AFTER_REFUSAL(Promise.TRUE_REFUSAL),
  /** It denies requests that are allowed. */
  DENIES(Promise.NOT_DENIED),
  /** It closes the connection when the answer has come. */
  LOSES_ANSWER(Promise.NOT_LOST),
  /** It never answers. */
  NEVER_ANSWERS(Promise.ANSWERED_IN_TIME),
  /** It sends requests to services of other routes. */
  WRONG_SERVICE(Promise.ALLOWED_ROUTE),
  /** It sends requests on behalf of another tenant. */
  WRONG_TENANT(Promise.ALLOWED_ROUTE),
  /** It stays with the first configuration. */
  STAYS_OLD(Promise.CONFIG_APPLIED),
  /** It goes back to an older configuration at times. */
  REVERTS(Promise.NO_REVERT),
  /** It goes on with endpoints that leave. */
  USES_LEAVING(Promise.DRAINED),
  /** Its process ends by itself. */
  ENDS(Promise.PROCESS_LIFE),
  /** Its memory grows without a bound. */
  GROWS(Promise.BOUNDED_MEMORY),
  /** It serves nothing after a while. */
  GETS_STUCK(Promise.RECOVERY);

  private final Promise broken;

  Sabotage(final Promise broken) {
    this.broken = broken;
  }

  /** Returns the promise that it breaks, null if none. */
  Promise broken() {
    return broken;
  }
}
