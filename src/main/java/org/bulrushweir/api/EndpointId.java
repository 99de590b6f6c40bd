package org.bulrushweir.api;

/**
 * Identifies an endpoint. The sidecar on the endpoint's VM goes by the same name.
 *
 * @param value the endpoint's name, unique in the fleet
 */
public record EndpointId(String value) implements Comparable<EndpointId> {

  /**
   * Validates the name.
   *
   * @throws IllegalArgumentException if the name is not a valid identifier
   */
  public EndpointId {
    Identifiers.requireValid("endpoint", value);
  }

  @Override
  public int compareTo(final EndpointId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
