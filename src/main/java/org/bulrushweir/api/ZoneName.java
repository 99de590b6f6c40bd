package org.bulrushweir.api;

/**
 * Names an availability zone.
 *
 * @param value the zone's name in the platform
 */
public record ZoneName(String value) {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if the name is not a valid identifier
   */
  public ZoneName {
    Identifiers.requireValid("availability zone", value);
  }

  @Override
  public String toString() {
    return value;
  }
}
