package org.bulrushweir.configuration;

import org.bulrushweir.api.ConfigNumber;

/** Result of the submission of a configuration text. */
public sealed interface SubmitResult {

  /**
   * The text was accepted.
   *
   * @param number the number that was assigned to it
   */
  record Accepted(ConfigNumber number) implements SubmitResult {}

  /**
   * The text was not edited from the latest accepted configuration, or a concurrent submission was
   * faster.
   *
   * @param base the number of the configuration that the text was edited from
   * @param current the latest accepted number, or the number after {@code base} if a concurrent
   *     submission was faster
   */
  record Conflict(long base, long current) implements SubmitResult {}

  /**
   * The text does not declare the configuration that it was edited from, so it could revert changes
   * of other operators.
   *
   * @param current the number of the latest accepted configuration
   */
  record BaseMissing(long current) implements SubmitResult {}

  /**
   * The platform is unavailable; the text was not accepted.
   *
   * @param message a description of the failure
   */
  record Unavailable(String message) implements SubmitResult {}

  /**
   * It is unknown whether the text was accepted: the platform's answer was lost, and reading back
   * the result failed.
   *
   * @param message a description of the failure
   */
  record Unknown(String message) implements SubmitResult {}
}
