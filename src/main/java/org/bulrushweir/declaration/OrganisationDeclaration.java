package org.bulrushweir.declaration;

import java.util.List;
import org.bulrushweir.api.OrganisationId;

/**
 * Describes an organisation.
 *
 * @param id the organisation's id
 * @param weight its share of a contended endpoint, relative to the others
 * @param maximumShare the greatest share of one endpoint's slots that it may hold, from 0 to 1
 * @param apiKeyDigests the SHA-256 digests of its API keys in hexadecimal; none if it needs no key
 */
public record OrganisationDeclaration(
    OrganisationId id, double weight, double maximumShare, List<String> apiKeyDigests) {}
