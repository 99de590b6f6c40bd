package org.bulrushweir.admission;

/**
 * Share of an endpoint's slots that an organisation is entitled to.
 *
 * @param weight the organisation's share while slots are scarce, relative to the weights of the
 *     others
 * @param maximumShare the maximum fraction of the slots that it may occupy, from 0 to 1
 */
public record OrganisationShare(double weight, double maximumShare) {

  /** The share of an organisation for which none is configured. */
  public static final OrganisationShare DEFAULT = new OrganisationShare(1, 1);
}
