package org.bulrushweir.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.membership.EndpointBackoff;
import org.bulrushweir.membership.EndpointTable;

/**
 * Keeps the pool of each service: its hash ring until the endpoints change, their median pace for a
 * moment. All else is looked up when a pool is asked. The caller locks the table where it is used
 * by many threads; the pools lock it themselves.
 */
public final class EndpointPoolCache {

  /** For how long a median pace holds, in milliseconds. */
  private static final long MEDIAN_LIFE_MS = 100;

  /** What is kept, by service. */
  private final Map<ServiceName, Entry> entries = new HashMap<>();

  /** The latest reports. */
  private final EndpointTable table;

  /** Which endpoints could not be reached. */
  private final EndpointBackoff backoff;

  /**
   * Creates an empty directory.
   *
   * @param table the latest reports
   * @param backoff which endpoints could not be reached
   */
  public EndpointPoolCache(final EndpointTable table, final EndpointBackoff backoff) {
    this.table = table;
    this.backoff = backoff;
  }

  /**
   * Returns the pool of a service.
   *
   * @param service the service
   * @param endpoints its endpoints that take work
   * @param nowMs the current time
   * @return the pool as it is now
   */
  public EndpointPool pool(
      final ServiceName service, final List<EndpointId> endpoints, final long nowMs) {
    Entry entry = entries.get(service);
    if (entry == null || !entry.ring().endpoints().equals(endpoints)) {
      entry = measured(new HashRing(endpoints), nowMs);
      entries.put(service, entry);
    } else if (nowMs - entry.medianAtMs() > MEDIAN_LIFE_MS) {
      entry = measured(entry.ring(), nowMs);
      entries.put(service, entry);
    }
    final HashRing ring = entry.ring();
    return new EndpointPool(ring, index -> view(ring, index, nowMs), entry.medianPaceMicros());
  }

  private Entry measured(final HashRing ring, final long nowMs) {
    final List<EndpointView> views =
        IntStream.range(0, ring.endpoints().size())
            .mapToObj(index -> view(ring, index, nowMs))
            .toList();
    return new Entry(ring, PaceMedian.of(views), nowMs);
  }

  private EndpointView view(final HashRing ring, final int index, final long nowMs) {
    final EndpointId id = ring.endpoints().get(index);
    synchronized (table) {
      return EndpointViews.of(id, ring.key(index), table, backoff.isBackedOff(id, nowMs), nowMs);
    }
  }

  /**
   * Keeps what is known of a service.
   *
   * @param ring assigns chats to endpoints
   * @param medianPaceMicros their median time per token, in microseconds, zero if unknown
   * @param medianAtMs when the median was computed, in milliseconds
   */
  private record Entry(HashRing ring, int medianPaceMicros, long medianAtMs) {}
}
