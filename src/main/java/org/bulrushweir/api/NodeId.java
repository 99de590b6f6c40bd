package org.bulrushweir.api;

/**
 * Identifies a process of the fleet: a router, gateway or sidecar.
 *
 * @param value the name of the process, unique in the fleet
 */
public record NodeId(String value) implements Comparable<NodeId> {

  /**
   * Validates the name.
   *
   * @throws IllegalArgumentException if the name is not a valid identifier
   */
  public NodeId {
    Identifiers.requireValid("node", value);
  }

  @Override
  public int compareTo(final NodeId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
