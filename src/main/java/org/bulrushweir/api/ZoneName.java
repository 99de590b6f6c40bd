package org.bulrushweir.api;

/**
 * Identifies an availability zone by its name.
 *
 * @param value the platform's name for the zone
 */
public record ZoneName(String value) {

  /**
   * Validates the name.
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
