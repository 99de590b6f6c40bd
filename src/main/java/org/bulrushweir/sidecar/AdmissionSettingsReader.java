package org.bulrushweir.sidecar;

import java.util.HashMap;
import java.util.Map;
import org.bulrushweir.admission.AdmissionSettings;
import org.bulrushweir.admission.OrganisationShare;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.declaration.Declaration;
import org.bulrushweir.declaration.ServiceDeclaration;

/** Derives admission settings from the operators' declaration. */
public final class AdmissionSettingsReader {

  private AdmissionSettingsReader() {}

  /**
   * Derives the admission settings of an endpoint.
   *
   * @param declaration the declaration in force
   * @param service the declaration of the endpoint's service
   * @return the settings; the load multiple is infinite for endpoints that do not answer chats
   */
  public static AdmissionSettings read(
      final Declaration declaration, final ServiceDeclaration service) {
    final Map<OrganisationId, OrganisationShare> shares = new HashMap<>();
    declaration
        .organisations()
        .forEach(
            (id, organisation) ->
                shares.put(
                    id, new OrganisationShare(organisation.weight(), organisation.maximumShare())));
    final double multiple =
        service.kind().supportsChat() ? service.loadMultiple() : Double.POSITIVE_INFINITY;
    return new AdmissionSettings(service.slots(), service.reservedSlots(), multiple, shares);
  }
}
