package org.bulrushweir.affinity;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushweir.api.EndpointId;

/**
 * Remembers for each chat where it ran last. Chats are kept in parallel arrays with open
 * addressing, 20 bytes a slot; when the memory is full, the chats that were used longest ago are
 * forgotten. Not safe for use by many threads.
 */
public final class ChatLocationMap {

  /** How many slots there are at the start; a power of two. */
  private static final int INITIAL_SLOTS = 1_024;

  /** How full the slots may be. */
  private static final double MAXIMUM_FILL = 0.7;

  /** Which share of the chats is forgotten when the memory is full. */
  private static final double FORGET_SHARE = 0.25;

  /** How many milliseconds a unit of the kept times has. */
  private static final long TIME_UNIT_MS = 100;

  /** Spreads chats over slots. */
  private static final long SPREAD_FACTOR = 0x9E3779B97F4A7C15L;

  /** The endpoints that chats ran at, by code. */
  private final List<EndpointId> endpoints = new ArrayList<>();

  /** The codes of the endpoints. */
  private final Map<EndpointId, Integer> codes = new HashMap<>();

  /** The greatest number of chats that are kept. */
  private final int capacity;

  /** When the memory was created, in milliseconds; kept times are relative to it. */
  private final long startMs;

  /** The chats by slot, zero for free slots. */
  private long[] chats = new long[INITIAL_SLOTS];

  /** The codes of their endpoints by slot. */
  private int[] locations = new int[INITIAL_SLOTS];

  /** Their cached tokens by slot. */
  private int[] tokens = new int[INITIAL_SLOTS];

  /** When they were used by slot, in time units since the start. */
  private int[] times = new int[INITIAL_SLOTS];

  /** How many chats are kept. */
  private int size;

  /**
   * Creates an empty memory.
   *
   * @param capacity the greatest number of chats that are kept
   * @param nowMs the current time
   */
  public ChatLocationMap(final int capacity, final long nowMs) {
    this.capacity = capacity;
    this.startMs = nowMs;
  }

  /**
   * Remembers where a chat ran.
   *
   * @param chat the chat's hash, not zero
   * @param location where it ran
   */
  public void put(final long chat, final ChatLocation location) {
    if (size >= capacity) {
      forgetOldest();
    }
    if (size >= chats.length * MAXIMUM_FILL) {
      rehash(chats.length * 2, Integer.MIN_VALUE);
    }
    final int slot = slot(chat);
    if (chats[slot] == 0) {
      chats[slot] = chat;
      size++;
    }
    locations[slot] = code(location.endpoint());
    tokens[slot] = location.tokens();
    times[slot] = (int) ((location.lastUsedMs() - startMs) / TIME_UNIT_MS);
  }

  /**
   * Tells where a chat ran last.
   *
   * @param chat the chat's hash, not zero
   * @return where, if it is remembered
   */
  public Optional<ChatLocation> find(final long chat) {
    final int slot = slot(chat);
    if (chats[slot] == 0) {
      return Optional.empty();
    }
    return Optional.of(
        new ChatLocation(
            endpoints.get(locations[slot]), tokens[slot], startMs + times[slot] * TIME_UNIT_MS));
  }

  /**
   * Lists the chats that ran at an endpoint.
   *
   * @param endpoint the endpoint
   * @return the chats, the one used last first
   */
  public List<Long> chatsAt(final EndpointId endpoint) {
    final Integer code = codes.get(endpoint);
    final List<Integer> slots = new ArrayList<>();
    for (int slot = 0; slot < chats.length; slot++) {
      if (code != null && chats[slot] != 0 && locations[slot] == code) {
        slots.add(slot);
      }
    }
    slots.sort((left, right) -> Integer.compare(times[right], times[left]));
    return slots.stream().map(slot -> chats[slot]).toList();
  }

  /**
   * Counts the chats.
   *
   * @return how many are kept
   */
  public int size() {
    return size;
  }

  private int code(final EndpointId endpoint) {
    return codes.computeIfAbsent(
        endpoint,
        key -> {
          endpoints.add(key);
          return endpoints.size() - 1;
        });
  }

  private int slot(final long chat) {
    final int mask = chats.length - 1;
    int slot = (int) (chat * SPREAD_FACTOR >>> Integer.SIZE) & mask;
    while (chats[slot] != 0 && chats[slot] != chat) {
      slot = slot + 1 & mask;
    }
    return slot;
  }

  private void forgetOldest() {
    final int[] sorted = new int[size];
    int count = 0;
    for (int slot = 0; slot < chats.length; slot++) {
      if (chats[slot] != 0) {
        sorted[count] = times[slot];
        count++;
      }
    }
    Arrays.sort(sorted);
    rehash(chats.length, sorted[(int) (size * FORGET_SHARE)] + 1);
  }

  /** Moves the chats that were used at a time or later into new slots. */
  private void rehash(final int slots, final int leastTime) {
    final long[] oldChats = chats;
    final int[] oldLocations = locations;
    final int[] oldTokens = tokens;
    final int[] oldTimes = times;
    chats = new long[slots];
    locations = new int[slots];
    tokens = new int[slots];
    times = new int[slots];
    size = 0;
    for (int old = 0; old < oldChats.length; old++) {
      if (oldChats[old] != 0 && oldTimes[old] >= leastTime) {
        final int slot = slot(oldChats[old]);
        chats[slot] = oldChats[old];
        locations[slot] = oldLocations[old];
        tokens[slot] = oldTokens[old];
        times[slot] = oldTimes[old];
        size++;
      }
    }
  }
}
