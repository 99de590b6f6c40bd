package org.bulrushweir.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.bulrushweir.api.OrganisationId;

/**
 * Queues the work items of one class, serving organisations in proportion to their weights by
 * start-time fair queueing.
 */
final class FairQueue {

  private final Map<OrganisationId, Deque<WorkItem>> queues = new LinkedHashMap<>();
  private final Map<OrganisationId, Double> startTimes = new LinkedHashMap<>();
  private double virtualTime;
  private int size;
  private long queuedCost;

  int size() {
    return size;
  }

  long queuedCost() {
    return queuedCost;
  }

  /**
   * Adds an item at the end of its organisation's queue.
   *
   * @param item the item
   */
  void add(final WorkItem item) {
    final Deque<WorkItem> queue =
        queues.computeIfAbsent(item.organisation(), key -> new ArrayDeque<>());
    if (queue.isEmpty()) {
      startTimes.merge(item.organisation(), virtualTime, Math::max);
    }
    queue.addLast(item);
    size++;
    queuedCost += item.cost();
  }

  /**
   * Finds the item that is next in turn, without removing it.
   *
   * @param allowed tells whether an organisation may start another item now
   * @return the item, empty if there is none
   */
  Optional<WorkItem> peek(final Predicate<OrganisationId> allowed) {
    WorkItem best = null;
    double bestStart = Double.POSITIVE_INFINITY;
    for (final Map.Entry<OrganisationId, Deque<WorkItem>> entry : queues.entrySet()) {
      final double start = startTimes.get(entry.getKey());
      if (!entry.getValue().isEmpty() && start < bestStart && allowed.test(entry.getKey())) {
        best = entry.getValue().getFirst();
        bestStart = start;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Removes an item that {@link #peek} has found and charges its organisation for it.
   *
   * @param item the item
   * @param weight the organisation's weight
   */
  void take(final WorkItem item, final double weight) {
    remove(item);
    final double start = startTimes.get(item.organisation());
    virtualTime = Math.max(virtualTime, start);
    startTimes.put(item.organisation(), start + item.cost() / weight);
    forgetIdle();
  }

  /**
   * Removes an item without charging for it.
   *
   * @param item the item
   * @return true if it was queued
   */
  boolean remove(final WorkItem item) {
    final Deque<WorkItem> queue = queues.get(item.organisation());
    if (queue == null || !queue.remove(item)) {
      return false;
    }
    size--;
    queuedCost -= item.cost();
    return true;
  }

  /**
   * Finds the items that can no longer start in time.
   *
   * @param nowMs the current time
   * @return the items
   */
  List<WorkItem> overdue(final long nowMs) {
    final List<WorkItem> items = new ArrayList<>();
    for (final Deque<WorkItem> queue : queues.values()) {
      for (final WorkItem item : queue) {
        if (nowMs > item.startByMs()) {
          items.add(item);
        }
      }
    }
    return items;
  }

  /** Forgets organisations that have nothing queued and no debt. */
  private void forgetIdle() {
    queues
        .entrySet()
        .removeIf(
            entry -> entry.getValue().isEmpty() && startTimes.get(entry.getKey()) <= virtualTime);
    startTimes.keySet().removeIf(organisation -> !queues.containsKey(organisation));
  }
}
