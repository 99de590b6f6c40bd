package org.bulrushweir.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bulrushweir.api.EndpointId;

/**
 * Keeps the latest load report of each endpoint of a pool and computes their mean. Not safe for use
 * by many threads.
 */
public final class PoolLoads {

  private static final long FRESH_MS = 3_000;
  private static final double TRUSTED_SHARE = 0.5;

  private final Map<EndpointId, LoadReport> reports = new HashMap<>();
  private double lastTrustedMean;

  /**
   * Takes a report, unless a later one is known.
   *
   * @param report the report
   * @return true if it is the latest
   */
  public boolean update(final LoadReport report) {
    final LoadReport known = reports.get(report.endpoint());
    if (known != null && !report.newerThan(known)) {
      return false;
    }
    reports.put(report.endpoint(), report);
    return true;
  }

  /**
   * Forgets all endpoints but some.
   *
   * @param members the endpoints that belong to the pool
   */
  public void retain(final Set<EndpointId> members) {
    reports.keySet().retainAll(members);
  }

  /**
   * Returns the latest report of an endpoint.
   *
   * @param endpoint the endpoint
   * @return the report, if there is one
   */
  public Optional<LoadReport> report(final EndpointId endpoint) {
    return Optional.ofNullable(reports.get(endpoint));
  }

  /**
   * Returns the latest reports, to be passed on.
   *
   * @param limit how many at the most
   * @param exclude the endpoint that needs no report, because it is its own
   * @return the reports, freshest first
   */
  public List<LoadReport> freshest(final int limit, final EndpointId exclude) {
    final List<LoadReport> sorted = new ArrayList<>(reports.values());
    sorted.removeIf(report -> report.endpoint().equals(exclude));
    sorted.sort(Comparator.comparingLong(LoadReport::timeMs).reversed());
    return sorted.subList(0, Math.min(limit, sorted.size()));
  }

  /**
   * Computes the mean load of the pool as seen by one of its members.
   *
   * <p>While most of the other members have not been heard of for some seconds, the last mean that
   * was trusted is kept, so that a cut-off member does not take its own growth for the pool's.
   *
   * @param self the member that asks
   * @param ownLoad the member's own load
   * @param members all members of the pool, with or without the member itself
   * @param nowMs the current time
   * @return the mean, in work units
   */
  public double meanSeenBy(
      final EndpointId self, final long ownLoad, final Set<EndpointId> members, final long nowMs) {
    int others = 0;
    int fresh = 0;
    double sum = 0;
    for (final EndpointId member : members) {
      if (member.equals(self)) {
        continue;
      }
      others++;
      final LoadReport report = reports.get(member);
      if (report != null && nowMs - report.timeMs() <= FRESH_MS) {
        fresh++;
        sum += report.load();
      }
    }
    if (fresh < others * TRUSTED_SHARE) {
      return lastTrustedMean;
    }
    lastTrustedMean = (sum + ownLoad) / (fresh + 1);
    return lastTrustedMean;
  }
}
