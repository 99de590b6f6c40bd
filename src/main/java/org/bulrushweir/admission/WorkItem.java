package org.bulrushweir.admission;

import org.bulrushweir.api.AttemptKey;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.declaration.WorkClass;

/**
 * Describes an attempt as far as admission is concerned.
 *
 * @param key the attempt
 * @param organisation for whom it runs
 * @param workClass its class of work
 * @param cost the estimated work, in work units
 * @param arrivedMs when it came, in milliseconds
 * @param startByMs when it must have started to be of use, in milliseconds
 */
public record WorkItem(
    AttemptKey key,
    OrganisationId organisation,
    WorkClass workClass,
    long cost,
    long arrivedMs,
    long startByMs) {}
