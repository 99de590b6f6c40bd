package org.bulrushweir.delivery;

/** How an attempt ended at its endpoint. */
public sealed interface AttemptEnd {

  /**
   * The attempt ran to completion.
   *
   * @param parts the number of parts of the answer
   * @param summary the answer's summary
   */
  record Ran(int parts, AnswerSummary summary) implements AttemptEnd {}

  /**
   * The endpoint failed while it ran the attempt; the parts sent so far are the beginning of an
   * answer.
   *
   * @param parts the number of parts that were produced
   * @param detail a description of the failure
   */
  record Broken(int parts, String detail) implements AttemptEnd {}

  /**
   * It is unknown whether the attempt ran.
   *
   * @param detail a description of the failure
   */
  record Unknown(String detail) implements AttemptEnd {}
}
