package org.bulrushweir.catalog;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;

/**
 * Decides which endpoints exist, from the registrations that the store lists. Registrations can
 * lapse while the store is away although their endpoints live; such endpoints stay listed until
 * they had time to register again.
 */
public final class EndpointDirectory {

  /**
   * For how long after the store's return a lapsed registration is still believed, in milliseconds:
   * the platform promises re-registration within about two seconds.
   */
  static final long LAPSE_GRACE_MS = 2_100;

  /**
   * For how long after the last call that the store did not answer a lapsed registration is still
   * believed, in milliseconds. The store may have been back ever since; three seconds after its
   * return a leaving endpoint must get no new work.
   */
  static final long UNANSWERED_GRACE_MS = 2_900;

  /**
   * For how long a removal that happened after the store's return is not believed, in milliseconds:
   * a leaving endpoint must get no new work two seconds after it has said so.
   */
  static final long LATE_LAPSE_GRACE_MS = 1_400;

  /** Within which the first answer after the store's return is taken over, in milliseconds. */
  private static final long FIRST_ANSWER_MS = 100;

  private final Map<EndpointId, EndpointRecord> records = new LinkedHashMap<>();
  private final Map<EndpointId, Long> removals = new HashMap<>();
  private Map<ServiceName, List<EndpointRecord>> byService = Map.of();
  private boolean storeReachable = true;
  private long unansweredAtMs = Long.MIN_VALUE / 2;
  private long regainedAtMs = Long.MIN_VALUE / 2;
  private long changeCount;

  /**
   * Takes a registration.
   *
   * @param registration the endpoint as registered
   */
  public void put(final EndpointRecord registration) {
    removals.remove(registration.id());
    if (!registration.equals(records.put(registration.id(), registration))) {
      changed();
    }
  }

  /**
   * Takes the end of a registration, or one that can't be read.
   *
   * @param id the endpoint
   * @param nowMs the current time
   */
  public void remove(final EndpointId id, final long nowMs) {
    if (!records.containsKey(id)) {
      return;
    }
    final long believedUntilMs = believedUntilMs(nowMs);
    if (nowMs < believedUntilMs) {
      removals.putIfAbsent(id, believedUntilMs);
      return;
    }
    records.remove(id);
    changed();
  }

  private long believedUntilMs(final long nowMs) {
    if (!storeReachable) {
      return Long.MAX_VALUE;
    }
    final long untilMs = lapseBelievedUntilMs();
    return nowMs <= regainedAtMs + FIRST_ANSWER_MS
        ? untilMs
        : Math.min(untilMs, nowMs + LATE_LAPSE_GRACE_MS);
  }

  private long lapseBelievedUntilMs() {
    return Math.min(regainedAtMs + LAPSE_GRACE_MS, unansweredAtMs + UNANSWERED_GRACE_MS);
  }

  /**
   * Takes the whole list of registrations.
   *
   * @param registrations all registrations that can be read
   * @param nowMs the current time
   */
  public void replaceAll(final Collection<EndpointRecord> registrations, final long nowMs) {
    final Set<EndpointId> listed = new HashSet<>();
    for (final EndpointRecord registration : registrations) {
      listed.add(registration.id());
      put(registration);
    }
    for (final EndpointId id : List.copyOf(records.keySet())) {
      if (!listed.contains(id)) {
        remove(id, nowMs);
      }
    }
  }

  /**
   * Notes that the store can't be reached.
   *
   * @param calledAtMs when the call began that it did not answer
   */
  public void markStoreUnreachable(final long calledAtMs) {
    storeReachable = false;
    unansweredAtMs = calledAtMs;
  }

  /**
   * Notes that the store answers again after it was lost.
   *
   * @param nowMs the current time
   */
  public void markStoreReachable(final long nowMs) {
    if (storeReachable) {
      return;
    }
    storeReachable = true;
    regainedAtMs = nowMs;
    removals.replaceAll((id, untilMs) -> lapseBelievedUntilMs());
  }

  /**
   * Drops the endpoints whose lapsed registrations have not come back in time.
   *
   * @param nowMs the current time
   * @return the dropped endpoints
   */
  public List<EndpointId> expire(final long nowMs) {
    final List<EndpointId> expired = new ArrayList<>();
    removals.forEach(
        (id, untilMs) -> {
          if (nowMs >= untilMs) {
            expired.add(id);
          }
        });
    for (final EndpointId id : expired) {
      removals.remove(id);
      records.remove(id);
    }
    if (!expired.isEmpty()) {
      changed();
    }
    return expired;
  }

  private void changed() {
    changeCount++;
    final Map<ServiceName, List<EndpointRecord>> grouped = new HashMap<>();
    for (final EndpointRecord entry : records.values()) {
      grouped.computeIfAbsent(entry.service(), name -> new ArrayList<>()).add(entry);
    }
    byService = grouped;
  }

  /**
   * Lists the endpoints of a service, those that are about to leave included.
   *
   * @param service the service
   * @return its endpoints
   */
  public List<EndpointRecord> endpoints(final ServiceName service) {
    return byService.getOrDefault(service, List.of());
  }

  /**
   * Finds an endpoint.
   *
   * @param id its id
   * @return the endpoint, empty if it is not listed
   */
  public Optional<EndpointRecord> find(final EndpointId id) {
    return Optional.ofNullable(records.get(id));
  }

  /**
   * Returns all endpoints.
   *
   * @return the endpoints
   */
  public Collection<EndpointRecord> all() {
    return records.values();
  }

  /**
   * Tells how often the list has changed.
   *
   * @return a number that grows with each change
   */
  public long changeCount() {
    return changeCount;
  }
}
