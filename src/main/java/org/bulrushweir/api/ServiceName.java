package org.bulrushweir.api;

/**
 * Names a declared service.
 *
 * @param value the service's declared name
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

  /**
   * Checks the name.
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
