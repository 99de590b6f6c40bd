package org.bulrushweir.api;

/**
 * Identifies a declared model by its name.
 *
 * @param value the name in the declaration
 */
public record ModelName(String value) implements Comparable<ModelName> {

  /**
   * Validates the name.
   *
   * @throws IllegalArgumentException if the name is not a valid identifier
   */
  public ModelName {
    Identifiers.requireValid("model", value);
  }

  @Override
  public int compareTo(final ModelName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
