package org.bulrushweir.demo;

/**
 * Holds what a caller got.
 *
 * @param status the status, zero if the connection ended without a whole answer
 * @param body the body
 * @param retryAfter the advice when to come again, empty without one
 * @param totalMs how long it took, in milliseconds
 */
public record DemoAnswer(int status, String body, String retryAfter, long totalMs) {

  private static final int OK = 200;

  /**
   * Tells whether the request was served.
   *
   * @return true for the status 200
   */
  public boolean served() {
    return status == OK;
  }
}
