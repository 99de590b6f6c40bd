package org.bulrushweir.relay;

/**
 * Identifies an attempt among those of its request.
 *
 * @param number the number of the attempt; the first one has number 1
 */
public record AttemptId(int number) {

  @Override
  public String toString() {
    return Integer.toString(number);
  }
}
