package org.bulrushweir.coldstart;

/**
 * The settings of the limit on what cold endpoints get.
 *
 * @param overshoot the factor by which all gateways together may exceed the rate of the plan
 * @param slack the number of requests in a second that are allowed in addition
 */
public record ColdSettings(double overshoot, double slack) {

  /**
   * Returns how many requests all gateways together may send to a cold endpoint in any second.
   *
   * @param perSecond the requests per second that a cold endpoint bears
   * @return the number of requests
   */
  public int bound(final double perSecond) {
    return (int) Math.floor(perSecond * overshoot + slack);
  }
}
