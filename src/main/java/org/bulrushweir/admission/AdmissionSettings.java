package org.bulrushweir.admission;

import java.util.Map;
import org.bulrushweir.api.OrganisationId;

/**
 * Settings for the admission of attempts at one endpoint.
 *
 * @param slots the maximum number of attempts that run concurrently
 * @param reservedSlots the number of slots reserved for short work
 * @param loadMultiple the load that the endpoint may have, as a multiple of its pool's mean load,
 *     infinite for no limit
 * @param shares the shares by organisation; an organisation without an entry has the default share
 */
public record AdmissionSettings(
    int slots,
    int reservedSlots,
    double loadMultiple,
    Map<OrganisationId, OrganisationShare> shares) {

  /**
   * Returns the share of an organisation.
   *
   * @param organisation the organisation
   * @return its share, {@link OrganisationShare#DEFAULT} if none is configured
   */
  OrganisationShare share(final OrganisationId organisation) {
    return shares.getOrDefault(organisation, OrganisationShare.DEFAULT);
  }

  /**
   * Returns the maximum number of slots that an organisation may occupy.
   *
   * @param organisation the organisation
   * @return the number of slots, at least one
   */
  int maximumSlots(final OrganisationId organisation) {
    return Math.max(1, (int) Math.floor(share(organisation).maximumShare() * slots));
  }
}
