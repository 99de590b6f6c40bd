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
 * @param promptCost the estimated work until the first token, in work units
 * @param outputCost the estimated work from then on, in work units
 * @param arrivedMs when it came, in milliseconds
 * @param startByMs when it must have started to be of use, in milliseconds
 */
public record WorkItem(
    AttemptKey key,
    OrganisationId organisation,
    WorkClass workClass,
    long promptCost,
    long outputCost,
    long arrivedMs,
    long startByMs) {

  /**
   * Returns the whole work.
   *
   * @return the estimated work, in work units, at least one
   */
  public long cost() {
    return Math.max(1, promptCost + outputCost);
  }
}
