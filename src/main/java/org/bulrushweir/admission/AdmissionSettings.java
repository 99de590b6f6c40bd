package org.bulrushweir.admission;

import java.util.Map;
import org.bulrushweir.api.OrganisationId;

/**
 * Sets up the admission of one endpoint.
 *
 * @param slots how many attempts run at once
 * @param reservedSlots how many of the slots only short work may take
 * @param loadMultiple how many times the mean load the endpoint may carry
 * @param shares the shares of the organisations
 */
public record AdmissionSettings(
    int slots,
    int reservedSlots,
    double loadMultiple,
    Map<OrganisationId, OrganisationShare> shares) {

  /**
   * Returns an organisation's share.
   *
   * @param organisation the organisation
   * @return its share, or the default one
   */
  OrganisationShare share(final OrganisationId organisation) {
    return shares.getOrDefault(organisation, OrganisationShare.DEFAULT);
  }

  /**
   * Returns how many slots an organisation may hold.
   *
   * @param organisation the organisation
   * @return the number of slots, at least one
   */
  int maximumSlots(final OrganisationId organisation) {
    return Math.max(1, (int) Math.floor(share(organisation).maximumShare() * slots));
  }
}
