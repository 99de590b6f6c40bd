package org.bulrushweir.routing;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.membership.EndpointTable;

/**
 * Assigns chats to endpoints by consistent hashing: an endpoint that joins or leaves moves only its
 * own share of the chats. Finding a chat's home takes a binary search.
 */
public final class HashRing {

  /** How many points of the ring an endpoint has; more points make its share more even. */
  private static final int POINTS_PER_ENDPOINT = 128;

  /** The bits of a point that hold the index of its endpoint; the others hold where it is. */
  private static final long INDEX_MASK = 0xFFFF;

  /** The endpoints. */
  private final List<EndpointId> endpoints;

  /** The keys of the endpoints. */
  private final long[] keys;

  /** The indexes of the endpoints. */
  private final Map<EndpointId, Integer> indexes = new HashMap<>();

  /** The points in ascending order. */
  private final long[] points;

  /**
   * Creates a ring.
   *
   * @param endpoints the endpoints, 65,536 at the most; their order gives their indexes
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
      final long place = BitMixer.mix(keys[index] + BitMixer.mix(number + 1));
      points[index * POINTS_PER_ENDPOINT + number] = place & ~INDEX_MASK | index;
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
   * @param index the endpoint's index
   * @return its key
   */
  public long key(final int index) {
    return keys[index];
  }

  /**
   * Finds an endpoint.
   *
   * @param endpoint the endpoint
   * @return its index, negative if it is not on the ring
   */
  public int indexOf(final EndpointId endpoint) {
    return indexes.getOrDefault(endpoint, -1);
  }

  /**
   * Finds the endpoint that is assigned to a chat.
   *
   * @param chat the chat's hash
   * @return its home; the ring must not be empty
   */
  public EndpointId ownerOf(final long chat) {
    return endpoints.get(owner(position(chat)));
  }

  /**
   * Finds where on the ring a chat is.
   *
   * @param chat the chat's hash
   * @return a position, to be given to {@link #owner}
   */
  public int position(final long chat) {
    final int found = Arrays.binarySearch(points, BitMixer.mix(chat));
    return (found >= 0 ? found : -found - 1) % Math.max(1, points.length);
  }

  /**
   * Returns the endpoint that owns a position.
   *
   * @param position the position
   * @return the endpoint's index
   */
  public int owner(final int position) {
    return (int) (points[position] & INDEX_MASK);
  }

  /**
   * Returns the position after another.
   *
   * @param position the position
   * @return the next one, around the ring
   */
  public int next(final int position) {
    return position + 1 == points.length ? 0 : position + 1;
  }
}
