package org.bulrushweir.dispatch;

import java.util.List;
import java.util.Map;
import org.bulrushweir.api.OrganisationId;

/**
 * What a gateway reports about its requests for a service.
 *
 * @param waiting the number of waiting requests by rank, the most urgent rank first
 * @param work the work done recently for the organisations with the most work
 */
public record PeerDemand(List<Integer> waiting, Map<OrganisationId, Double> work) {

  /** The greatest number of ranks in a report. */
  public static final int MAX_RANKS = 16;

  /** The greatest number of organisations in a report. */
  public static final int MAX_ORGANISATIONS = 8;

  /** Creates a demand with copies of its parts. */
  public PeerDemand {
    waiting = List.copyOf(waiting);
    work = Map.copyOf(work);
  }

  boolean isMoreUrgentWaiting(final int rank) {
    return waiting.stream().limit(Math.max(0, rank)).anyMatch(count -> count > 0);
  }

  /**
   * Returns the work of an organisation. One that a full report leaves out counts as the smallest
   * of the report, so that being listed is no disadvantage among equals.
   *
   * @param organisation the organisation
   * @return the work
   */
  double workOf(final OrganisationId organisation) {
    final Double listed = work.get(organisation);
    if (listed != null) {
      return listed;
    }
    return work.size() < MAX_ORGANISATIONS
        ? 0
        : work.values().stream().mapToDouble(Double::doubleValue).min().orElse(0);
  }
}
