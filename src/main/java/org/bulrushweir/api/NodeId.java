package org.bulrushweir.api;

/**
 * Identifies a process of the fleet, whether router or sidecar.
 *
 * @param value the process's name, unique in the fleet
 */
public record NodeId(String value) implements Comparable<NodeId> {

  /**
   * Checks the name.
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
