package org.bulrushweir.routing;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.membership.EndpointTable;

/**
 * Assigns chats to endpoints by consistent hashing, for routers that reach endpoints through
 * sidecars, and for these sidecars. An endpoint that joins or leaves moves only its own share of
 * the chats. A lookup takes a binary search.
 */
public final class HashRing {

  /**
   * The number of points of each endpoint on the ring. More points make the shares of the endpoints
   * more even.
   */
  private static final int POINTS_PER_ENDPOINT = 128;

  /**
   * The bits of a point that hold the index of its endpoint. The other bits hold its position on
   * the ring.
   */
  private static final long INDEX_MASK = 0xFFFF;

  /** The endpoints by index. */
  private final List<EndpointId> endpoints;

  /** The hashes of the endpoint ids by index. */
  private final long[] keys;

  /** The indexes of the endpoints. */
  private final Map<EndpointId, Integer> indexes = new HashMap<>();

  /** The points of all endpoints in ascending order. */
  private final long[] points;

  /**
   * Creates a ring.
   *
   * @param endpoints the endpoints in the order of their indexes, at most 65,536
   */
  public HashRing(final List<EndpointId> endpoints) {
    this.endpoints = List.copyOf(endpoints);
    this.keys = new long[endpoints.size()];
    this.points = new long[endpoints.size() * POINTS_PER_ENDPOINT];
    for (int index = 0; index < keys.length; index++) {
      keys[index] = EndpointTable.key(endpoints.get(index));
      indexes.put(endpoints.get(index), index);
      addPoints(index);
    }
    Arrays.sort(points);
  }

  private void addPoints(final int index) {
    for (int number = 0; number < POINTS_PER_ENDPOINT; number++) {
      final long hash = BitMixer.mix(keys[index] + BitMixer.mix(number + 1));
      points[index * POINTS_PER_ENDPOINT + number] = hash & ~INDEX_MASK | index;
    }
  }

  /**
   * Returns the endpoints.
   *
   * @return the endpoints in the order of their indexes
   */
  public List<EndpointId> endpoints() {
    return endpoints;
  }

  /**
   * Returns the key of an endpoint.
   *
   * @param index the index of the endpoint
   * @return the hash of its id
   */
  public long key(final int index) {
    return keys[index];
  }

  /**
   * Returns the index of an endpoint.
   *
   * @param endpoint the endpoint
   * @return its index, negative if it is not on the ring
   */
  public int indexOf(final EndpointId endpoint) {
    return indexes.getOrDefault(endpoint, -1);
  }

  /**
   * Returns the endpoint that the ring assigns to a chat. The ring must not be empty.
   *
   * @param chat the hash of the chat
   * @return the endpoint
   */
  public EndpointId ownerOf(final long chat) {
    return endpoints.get(owner(pointIndex(chat)));
  }

  /**
   * Returns the index of the first point at or after a chat on the ring.
   *
   * @param chat the hash of the chat
   * @return the index for {@link #owner} and {@link #next}; zero on an empty ring, on which these
   *     must not be called
   */
  public int pointIndex(final long chat) {
    final int found = Arrays.binarySearch(points, BitMixer.mix(chat));
    return (found >= 0 ? found : -found - 1) % Math.max(1, points.length);
  }

  /**
   * Returns the endpoint that owns a point.
   *
   * @param pointIndex the index of the point
   * @return the index of the endpoint
   */
  public int owner(final int pointIndex) {
    return (int) (points[pointIndex] & INDEX_MASK);
  }

  /**
   * Returns the index of the point after another one.
   *
   * @param pointIndex the index of the point
   * @return the next index, which wraps around at the end of the ring
   */
  public int next(final int pointIndex) {
    return pointIndex + 1 == points.length ? 0 : pointIndex + 1;
  }
}
