package org.bulrushweir.declaration;

import java.util.List;
import org.bulrushweir.api.OrganisationId;

/**
 * Describes an organisation and its share of endpoints.
 *
 * @param id the id of the organisation
 * @param weight the organisation's share of a contended endpoint, relative to those of others
 * @param maximumShare the maximum share of one endpoint's slots that the organisation may hold,
 *     from 0 to 1
 * @param apiKeyDigests the SHA-256 digests of the organisation's API keys in hexadecimal; empty if
 *     its callers need no key
 */
public record OrganisationDeclaration(
    OrganisationId id, double weight, double maximumShare, List<String> apiKeyDigests) {}
