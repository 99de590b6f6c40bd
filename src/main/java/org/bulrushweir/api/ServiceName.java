package org.bulrushweir.api;

/**
 * Identifies a declared service by its name.
 *
 * @param value the name in the declaration
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

  /**
   * Validates the name.
   *
   * @throws IllegalArgumentException if the name is not a valid identifier
   */
  public ServiceName {
    Identifiers.requireValid("service", value);
  }

  @Override
  public int compareTo(final ServiceName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
