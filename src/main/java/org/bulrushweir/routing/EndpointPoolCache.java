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
 * Caches the pool data of each service: the hash ring until its endpoints change, and their median
 * time per token for a short time. All other state is looked up when a pool is used. Not
 * thread-safe: the caller locks the report table around {@link #pool} if several threads use it.
 * The pools lock the table themselves.
 */
public final class EndpointPoolCache {

  /** The time for which a computed median is used, in milliseconds. */
  private static final long MEDIAN_VALID_MS = 100;

  /** The cached data by service. */
  private final Map<ServiceName, Entry> entries = new HashMap<>();

  /** The latest reports of the endpoints. */
  private final EndpointTable table;

  /** The recent connection failures of the endpoints. */
  private final EndpointBackoff backoff;

  /**
   * Creates an empty cache.
   *
   * @param table the latest reports of the endpoints
   * @param backoff the recent connection failures of the endpoints
   */
  public EndpointPoolCache(final EndpointTable table, final EndpointBackoff backoff) {
    this.table = table;
    this.backoff = backoff;
  }

  /**
   * Returns the pool of a service.
   *
   * @param service the service
   * @param endpoints the endpoints of the service that accept new requests
   * @param nowMs the current time, in Unix milliseconds
   * @return a pool with the state of the endpoints at that time
   */
  public EndpointPool pool(
      final ServiceName service, final List<EndpointId> endpoints, final long nowMs) {
    Entry entry = entries.get(service);
    if (entry == null || !entry.ring().endpoints().equals(endpoints)) {
      entry = withCurrentMedian(new HashRing(endpoints), nowMs);
      entries.put(service, entry);
    } else if (nowMs - entry.medianAtMs() > MEDIAN_VALID_MS) {
      entry = withCurrentMedian(entry.ring(), nowMs);
      entries.put(service, entry);
    }
    final HashRing ring = entry.ring();
    return new EndpointPool(ring, index -> view(ring, index, nowMs), entry.medianPaceMicros());
  }

  private Entry withCurrentMedian(final HashRing ring, final long nowMs) {
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
   * The cached data of a service.
   *
   * @param ring the hash ring of its endpoints
   * @param medianPaceMicros the median time per token of its endpoints, in microseconds, zero if
   *     unknown
   * @param medianAtMs the time at which the median was computed, in Unix milliseconds
   */
  private record Entry(HashRing ring, int medianPaceMicros, long medianAtMs) {}
}
