package org.bulrushweir.api;

/**
 * Identifies an organisation on whose behalf callers send requests.
 *
 * @param value the name in the declaration
 */
public record OrganisationId(String value) {

  /**
   * Validates the name.
   *
   * @throws IllegalArgumentException if the name is not a valid identifier
   */
  public OrganisationId {
    Identifiers.requireValid("organisation", value);
  }

  @Override
  public String toString() {
    return value;
  }
}
