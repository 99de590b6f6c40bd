package org.bulrushweir.command;

/** Reports a wrong command line. */
public final class UsageException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message what is wrong
   */
  public UsageException(final String message) {
    super(message);
  }
}
