package org.bulrushweir.delivery;

/** Tells how an attempt ended at the endpoint. */
public sealed interface AttemptEnd {

  /**
   * The attempt ran to its end.
   *
   * @param parts how many parts the answer has
   * @param summary the answer's summary
   */
  record Ran(int parts, AnswerSummary summary) implements AttemptEnd {}

  /**
   * The endpoint failed while it ran the attempt; the parts are the start of an answer.
   *
   * @param parts how many parts there are
   * @param detail what happened
   */
  record Broken(int parts, String detail) implements AttemptEnd {}

  /**
   * Nobody can tell whether the attempt ran.
   *
   * @param detail what happened
   */
  record Unknown(String detail) implements AttemptEnd {}
}
