package org.bulrushweir.configuration;

import org.bulrushweir.api.ConfigNumber;

/** Tells what became of a submitted text. */
public sealed interface SubmitResult {

  /**
   * The text was accepted.
   *
   * @param number its number
   */
  record Accepted(ConfigNumber number) implements SubmitResult {}

  /**
   * Another text was accepted first.
   *
   * @param base the number that the text was edited from
   * @param current the least number that was accepted since
   */
  record Conflict(long base, long current) implements SubmitResult {}

  /**
   * The text does not say what it was edited from, so it might undo what others have changed.
   *
   * @param current the number that was accepted last
   */
  record BaseMissing(long current) implements SubmitResult {}

  /**
   * The platform does not answer; the text was not accepted.
   *
   * @param message what happened
   */
  record Unavailable(String message) implements SubmitResult {}

  /**
   * The platform's answer was lost and could not be read back.
   *
   * @param message what happened
   */
  record Unknown(String message) implements SubmitResult {}
}
