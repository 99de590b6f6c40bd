package org.bulrushweir.catalog;

import java.util.OptionalInt;
import org.bulrushweir.api.OrganisationId;

/**
 * An organisation that has API keys.
 *
 * @param organisation the organisation
 * @param priority the priority of its requests, which overrides that of the route; empty if it has
 *     none
 */
public record Tenant(OrganisationId organisation, OptionalInt priority) {}
