package org.bulrushweir.router;

/** Thrown if a request is invalid or not permitted. The request was not run. */
final class ProblemException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final int status;
  private final String type;

  /**
   * Creates the exception.
   *
   * @param status the HTTP status code
   * @param type the kind of problem, the last part of its URI
   * @param message the error and, where possible, what is allowed instead; sent to the caller
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
