package org.bulrushweir.admission;

/**
 * Says how much of an endpoint an organisation gets.
 *
 * @param weight its share when the endpoint is contended, relative to the others
 * @param maximumShare the greatest share of the slots it may hold, from 0 to 1
 */
public record OrganisationShare(double weight, double maximumShare) {

  /** What an organisation gets that declares nothing. */
  public static final OrganisationShare DEFAULT = new OrganisationShare(1, 1);
}
