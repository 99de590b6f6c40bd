package org.bulrushweir.catalog;

import java.util.OptionalInt;
import org.bulrushweir.api.OrganisationId;

/**
 * Describes an organisation that holds keys.
 *
 * @param organisation the organisation
 * @param priority its rank, which goes before that of routes; empty if it has none
 */
public record Tenant(OrganisationId organisation, OptionalInt priority) {}
