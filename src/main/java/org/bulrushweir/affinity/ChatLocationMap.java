package org.bulrushweir.affinity;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushweir.api.EndpointId;

/**
 * Maps each chat to the endpoint that last ran it or received its KV cache. The map uses open
 * addressing with parallel arrays, 20 bytes a slot. When it is full, it evicts the chats whose
 * location was not set for the longest time. Not thread-safe.
 */
public final class ChatLocationMap {

  /** The initial number of slots; a power of two. */
  private static final int INITIAL_SLOTS = 1_024;

  /** The share of used slots above which the number of slots is doubled. */
  private static final double MAX_LOAD_FACTOR = 0.7;

  /** The smallest share of the chats that is evicted when the map is full. */
  private static final double EVICTED_SHARE = 0.25;

  /** The unit of the stored times, in milliseconds; times are rounded down to it. */
  private static final long TIME_UNIT_MS = 100;

  /**
   * The multiplier of the Fibonacci hashing of chats to slots: 2^64 divided by the golden ratio.
   */
  private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

  /** The endpoints by their index in this map. */
  private final List<EndpointId> endpoints = new ArrayList<>();

  /** The indexes of the endpoints. */
  private final Map<EndpointId, Integer> endpointIndexes = new HashMap<>();

  /** The maximum number of chats. */
  private final int capacity;

  /** The creation time of the map, in Unix milliseconds. Stored times are relative to it. */
  private final long startMs;

  /** The hash of the chat in each slot, zero in free slots. */
  private long[] chats = new long[INITIAL_SLOTS];

  /** The index of the chat's endpoint in each slot. */
  private int[] chatEndpoints = new int[INITIAL_SLOTS];

  /** The number of the chat's cached tokens in each slot. */
  private int[] tokens = new int[INITIAL_SLOTS];

  /** The time of the chat's last use in each slot, in time units since the creation of the map. */
  private int[] lastUses = new int[INITIAL_SLOTS];

  /** The number of chats. */
  private int size;

  /**
   * Creates an empty map.
   *
   * @param capacity the maximum number of chats
   * @param nowMs the current time, in Unix milliseconds
   */
  public ChatLocationMap(final int capacity, final long nowMs) {
    this.capacity = capacity;
    this.startMs = nowMs;
  }

  /**
   * Sets the location of a chat.
   *
   * @param chat the hash of the chat, not zero
   * @param location the endpoint that ran it or received its KV cache, with its cached tokens
   */
  public void put(final long chat, final ChatLocation location) {
    if (size >= capacity) {
      evictOldest();
    }
    if (size >= chats.length * MAX_LOAD_FACTOR) {
      rehash(chats.length * 2, Integer.MIN_VALUE);
    }
    final int slot = slot(chat);
    if (chats[slot] == 0) {
      chats[slot] = chat;
      size++;
    }
    chatEndpoints[slot] = endpointIndex(location.endpoint());
    tokens[slot] = location.tokens();
    lastUses[slot] = (int) ((location.lastUsedMs() - startMs) / TIME_UNIT_MS);
  }

  /**
   * Returns the location of a chat.
   *
   * @param chat the hash of the chat, not zero
   * @return the location, empty if the chat is unknown or was evicted
   */
  public Optional<ChatLocation> find(final long chat) {
    final int slot = slot(chat);
    if (chats[slot] == 0) {
      return Optional.empty();
    }
    return Optional.of(
        new ChatLocation(
            endpoints.get(chatEndpoints[slot]),
            tokens[slot],
            startMs + lastUses[slot] * TIME_UNIT_MS));
  }

  /**
   * Returns the chats that last ran at an endpoint.
   *
   * @param endpoint the endpoint
   * @return the hashes of the chats, the most recently used one first, empty if there are none
   */
  public List<Long> chatsAt(final EndpointId endpoint) {
    final Integer endpointIndex = endpointIndexes.get(endpoint);
    final List<Integer> slots = new ArrayList<>();
    for (int slot = 0; slot < chats.length; slot++) {
      if (endpointIndex != null && chats[slot] != 0 && chatEndpoints[slot] == endpointIndex) {
        slots.add(slot);
      }
    }
    slots.sort((left, right) -> Integer.compare(lastUses[right], lastUses[left]));
    return slots.stream().map(slot -> chats[slot]).toList();
  }

  /**
   * Returns the number of chats.
   *
   * @return the number of chats
   */
  public int size() {
    return size;
  }

  private int endpointIndex(final EndpointId endpoint) {
    return endpointIndexes.computeIfAbsent(
        endpoint,
        key -> {
          endpoints.add(key);
          return endpoints.size() - 1;
        });
  }

  private int slot(final long chat) {
    final int mask = chats.length - 1;
    int slot = (int) (chat * HASH_MULTIPLIER >>> Integer.SIZE) & mask;
    while (chats[slot] != 0 && chats[slot] != chat) {
      slot = slot + 1 & mask;
    }
    return slot;
  }

  private void evictOldest() {
    final int[] sorted = new int[size];
    int count = 0;
    for (int slot = 0; slot < chats.length; slot++) {
      if (chats[slot] != 0) {
        sorted[count] = lastUses[slot];
        count++;
      }
    }
    Arrays.sort(sorted);
    rehash(chats.length, sorted[(int) (size * EVICTED_SHARE)] + 1);
  }

  /** Moves the chats whose last use is at or after a time to new slots, and drops the others. */
  private void rehash(final int slots, final int minLastUse) {
    final long[] oldChats = chats;
    final int[] oldChatEndpoints = chatEndpoints;
    final int[] oldTokens = tokens;
    final int[] oldLastUses = lastUses;
    chats = new long[slots];
    chatEndpoints = new int[slots];
    tokens = new int[slots];
    lastUses = new int[slots];
    size = 0;
    for (int old = 0; old < oldChats.length; old++) {
      if (oldChats[old] != 0 && oldLastUses[old] >= minLastUse) {
        final int slot = slot(oldChats[old]);
        chats[slot] = oldChats[old];
        chatEndpoints[slot] = oldChatEndpoints[old];
        tokens[slot] = oldTokens[old];
        lastUses[slot] = oldLastUses[old];
        size++;
      }
    }
  }
}
