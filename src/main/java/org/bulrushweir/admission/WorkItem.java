package org.bulrushweir.admission;

import org.bulrushweir.api.AttemptKey;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.declaration.WorkClass;

/**
 * An attempt with its estimated work, as the {@link AdmissionController} queues it.
 *
 * @param key the attempt
 * @param organisation the organisation that the request belongs to
 * @param workClass the work class of the request
 * @param promptCost the estimated work until its first token, in work units
 * @param outputCost the estimated work after its first token, in work units
 * @param arrivedMs when it arrived, in milliseconds of the sidecar's clock
 * @param startByMs the deadline of its first token, in milliseconds of the sidecar's clock; an
 *     attempt that is still queued then is removed from the queue
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
   * Returns the total estimated work.
   *
   * @return the sum of prompt and output work, in work units, at least one
   */
  public long cost() {
    return Math.max(1, promptCost + outputCost);
  }
}
