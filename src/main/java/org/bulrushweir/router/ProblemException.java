package org.bulrushweir.router;

/** Reports that a request can't be run as it is; nothing was run. */
final class ProblemException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final int status;
  private final String type;

  /**
   * Creates the exception.
   *
   * @param status the HTTP status
   * @param type identifies the kind of problem
   * @param message what is wrong and what would be right
   */
  ProblemException(final int status, final String type, final String message) {
    super(message);
    this.status = status;
    this.type = type;
  }

  int status() {
    return status;
  }

  String type() {
    return type;
  }
}
