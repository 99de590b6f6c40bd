package org.bulrushweir.api;

/**
 * Names a declared model.
 *
 * @param value the model's declared name
 */
public record ModelName(String value) implements Comparable<ModelName> {

  /**
   * Checks the name.
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
