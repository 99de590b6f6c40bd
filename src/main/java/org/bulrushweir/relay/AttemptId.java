package org.bulrushweir.relay;

/**
 * Numbers the attempts of one request.
 *
 * @param number counted from one
 */
public record AttemptId(int number) {

  @Override
  public String toString() {
    return Integer.toString(number);
  }
}
