package org.bulrushweir.api;

/**
 * Identifies one attempt of a request.
 *
 * @param request the request
 * @param attempt counts the request's attempts from one
 */
public record AttemptKey(RequestId request, int attempt) {

  @Override
  public String toString() {
    return request + "/" + attempt;
  }
}
