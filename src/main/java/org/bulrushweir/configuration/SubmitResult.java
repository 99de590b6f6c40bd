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
   * @param message what has changed since
   */
  record Conflict(String message) implements SubmitResult {}

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
