package org.bulrushweir.api;

/**
 * Identifies one attempt of a request.
 *
 * @param request the id of the request
 * @param attempt the number of the attempt within its request, counted from one
 */
public record AttemptKey(RequestId request, int attempt) {

  @Override
  public String toString() {
    return request + "/" + attempt;
  }
}
