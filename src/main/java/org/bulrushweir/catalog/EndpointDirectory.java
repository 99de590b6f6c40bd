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
 * Lists the endpoints that exist, by their registrations in the store. Registrations can lapse
 * during an outage of the store although their endpoints are running, so an endpoint whose
 * registration is missing stays listed:
 *
 * <ul>
 *   <li>during the outage, until it ends;
 *   <li>afterwards, until {@link #LAPSE_GRACE_MS} after the end of the outage or {@link
 *       #UNANSWERED_GRACE_MS} after the start of the last unanswered store request, whichever is
 *       earlier;
 *   <li>if its removal is reported later than {@link #FIRST_SNAPSHOT_WINDOW_MS} after the end of
 *       the outage, until the same time, but no longer than {@link #LATE_REMOVAL_DELAY_MS} after
 *       the report.
 * </ul>
 */
public final class EndpointDirectory {

  /**
   * The time after the end of an outage for which a lapsed registration stays listed, in
   * milliseconds. The platform promises that endpoints register again within about 2 s.
   */
  static final long LAPSE_GRACE_MS = 2_100;

  /**
   * The time after the start of the last unanswered store request for which a lapsed registration
   * stays listed, in milliseconds. The store may have been reachable since that request, and a
   * leaving endpoint must not receive new requests later than 3 s after the end of the outage.
   */
  static final long UNANSWERED_GRACE_MS = 2_900;

  /**
   * The longest time for which a removal that is reported after the end of an outage is delayed, in
   * milliseconds. A leaving endpoint must not receive new requests 2 s after it has deregistered.
   */
  static final long LATE_REMOVAL_DELAY_MS = 1_400;

  /**
   * The time after a restoration of the store after which a registration that it has brought back
   * counts as alive, in milliseconds. The store removes those that are not renewed within three
   * intervals of 1.2 s.
   */
  static final long REVIVAL_PROOF_MS = 5_000;

  /**
   * The time after the end of an outage within which the first response of the store is applied, in
   * milliseconds. Removals up to then count as lapses during the outage.
   */
  private static final long FIRST_SNAPSHOT_WINDOW_MS = 100;

  /** The number of removed endpoints whose last registration is remembered. */
  private static final int REMEMBERED_REMOVALS = 4_096;

  private final Map<EndpointId, EndpointRecord> records = new LinkedHashMap<>();
  private final Map<EndpointId, EndpointRecord> removed =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(final Map.Entry<EndpointId, EndpointRecord> eldest) {
          return size() > REMEMBERED_REMOVALS;
        }
      };
  private final Map<EndpointId, Revival> revivals = new HashMap<>();
  private final Map<EndpointId, Long> pendingRemovals = new HashMap<>();
  private Map<ServiceName, List<EndpointRecord>> byService = Map.of();
  private boolean storeReachable = true;
  private long lastUnansweredCallMs = Long.MIN_VALUE / 2;
  private long reachableAgainAtMs = Long.MIN_VALUE / 2;
  private long changeCount;

  /**
   * Adds or replaces a registration. One that was written before the last known start of its
   * endpoint is ignored: it was delayed on its way, or the store was restored, and it describes a
   * process that has ended. So is one of a run that has left after draining. A run that drains
   * never accepts requests again.
   *
   * @param registration the endpoint as registered
   * @return false if the registration was ignored
   */
  public boolean put(final EndpointRecord registration) {
    final EndpointId id = registration.id();
    final EndpointRecord last = records.getOrDefault(id, removed.get(id));
    if (last != null && registration.startedAtMs() < last.startedAtMs()) {
      return false;
    }
    final boolean drained = last != null && last.draining() && last.isSameRun(registration);
    if (drained && !records.containsKey(id)) {
      return false;
    }
    final EndpointRecord current = drained ? registration.asDraining() : registration;
    pendingRemovals.remove(id);
    removed.remove(id);
    revivals.remove(id);
    if (!current.equals(records.put(id, current))) {
      rebuildIndex();
    }
    return true;
  }

  private void forget(final EndpointId id) {
    removed.put(id, records.remove(id));
  }

  /**
   * Records that a run of an endpoint says in its answers that it leaves. It accepts no requests
   * from then on, whatever its registration states; a later run under the same id does.
   *
   * @param run the endpoint as it was registered when the request was sent
   * @return false if the run has ended or is known to leave
   */
  public boolean markLeaving(final EndpointRecord run) {
    final EndpointRecord current = records.get(run.id());
    if (current == null || !current.isSameRun(run) || current.draining()) {
      return false;
    }
    records.put(run.id(), current.asDraining());
    rebuildIndex();
    return true;
  }

  /**
   * Removes an endpoint whose registration has ended or cannot be read. The removal is delayed if
   * the registration may have lapsed because of an outage of the store.
   *
   * @param id the endpoint
   * @param nowMs the current time, in Unix milliseconds
   */
  public void remove(final EndpointId id, final long nowMs) {
    revivals.remove(id);
    if (!records.containsKey(id)) {
      return;
    }
    final long keptUntilMs = keptUntilMs(nowMs);
    if (nowMs < keptUntilMs) {
      pendingRemovals.putIfAbsent(id, keptUntilMs);
      return;
    }
    forget(id);
    rebuildIndex();
  }

  private long keptUntilMs(final long nowMs) {
    if (!storeReachable) {
      return Long.MAX_VALUE;
    }
    final long untilMs = lapseKeptUntilMs();
    return nowMs <= reachableAgainAtMs + FIRST_SNAPSHOT_WINDOW_MS
        ? untilMs
        : Math.min(untilMs, nowMs + LATE_REMOVAL_DELAY_MS);
  }

  private long lapseKeptUntilMs() {
    return Math.min(
        reachableAgainAtMs + LAPSE_GRACE_MS, lastUnansweredCallMs + UNANSWERED_GRACE_MS);
  }

  /**
   * Replaces all registrations by a snapshot of the store. Missing endpoints are removed as in
   * {@link #remove}.
   *
   * @param registrations all registrations that could be read
   * @param nowMs the current time, in Unix milliseconds
   */
  public void replaceAll(final Collection<EndpointRecord> registrations, final long nowMs) {
    final Set<EndpointId> listed = new HashSet<>();
    for (final EndpointRecord registration : registrations) {
      listed.add(registration.id());
      final Revival revival = revivals.get(registration.id());
      if (revival == null || !revival.registration().equals(registration)) {
        put(registration);
      }
    }
    removeUnlisted(listed, nowMs);
  }

  private void removeUnlisted(final Set<EndpointId> listed, final long nowMs) {
    revivals.keySet().retainAll(listed);
    for (final EndpointId id : List.copyOf(records.keySet())) {
      if (!listed.contains(id)) {
        remove(id, nowMs);
      }
    }
  }

  /**
   * Replaces all registrations by a snapshot of a store that was restored from an older copy. The
   * copy may list runs that have left since. One that was removed here is listed again only if the
   * store still lists it after {@link #REVIVAL_PROOF_MS}, or as soon as it registers again. Missing
   * endpoints are removed as in {@link #remove}.
   *
   * @param registrations all registrations that could be read
   * @param nowMs the current time, in Unix milliseconds
   */
  public void replaceAllRestored(final Collection<EndpointRecord> registrations, final long nowMs) {
    final Set<EndpointId> listed = new HashSet<>();
    for (final EndpointRecord registration : registrations) {
      listed.add(registration.id());
      final EndpointRecord left = removed.get(registration.id());
      if (left != null && left.isSameRun(registration)) {
        revivals.put(registration.id(), new Revival(registration, nowMs + REVIVAL_PROOF_MS));
      } else {
        put(registration);
      }
    }
    removeUnlisted(listed, nowMs);
  }

  /**
   * Records that the store is unreachable.
   *
   * @param calledAtMs the start of the store request that was not answered, or a later time as of
   *     which the store is known to have answered others, in Unix milliseconds
   */
  public void markStoreUnreachable(final long calledAtMs) {
    storeReachable = false;
    lastUnansweredCallMs = calledAtMs;
  }

  /**
   * Records that the store answers again; without effect if it was reachable.
   *
   * @param nowMs the current time, in Unix milliseconds
   */
  public void markStoreReachable(final long nowMs) {
    if (storeReachable) {
      return;
    }
    storeReachable = true;
    reachableAgainAtMs = nowMs;
    pendingRemovals.replaceAll((id, untilMs) -> lapseKeptUntilMs());
  }

  /**
   * Removes the endpoints whose delayed removals are due, and lists those again that a restored
   * store has brought back and kept.
   *
   * @param nowMs the current time, in Unix milliseconds
   * @return the removed endpoints, empty if there are none
   */
  public List<EndpointId> expire(final long nowMs) {
    List.copyOf(revivals.values()).stream()
        .filter(revival -> storeReachable && nowMs >= revival.provenAtMs())
        .forEach(revival -> revive(revival.registration()));
    final List<EndpointId> expired = new ArrayList<>();
    pendingRemovals.forEach(
        (id, untilMs) -> {
          if (nowMs >= untilMs) {
            expired.add(id);
          }
        });
    for (final EndpointId id : expired) {
      pendingRemovals.remove(id);
      forget(id);
    }
    if (!expired.isEmpty()) {
      rebuildIndex();
    }
    return expired;
  }

  private void revive(final EndpointRecord registration) {
    revivals.remove(registration.id());
    put(registration);
  }

  private void rebuildIndex() {
    changeCount++;
    final Map<ServiceName, List<EndpointRecord>> grouped = new HashMap<>();
    for (final EndpointRecord entry : records.values()) {
      grouped.computeIfAbsent(entry.service(), name -> new ArrayList<>()).add(entry);
    }
    byService = grouped;
  }

  /**
   * Returns the endpoints of a service, including those that are draining.
   *
   * @param service the service
   * @return its endpoints, empty if there are none
   */
  public List<EndpointRecord> endpoints(final ServiceName service) {
    return byService.getOrDefault(service, List.of());
  }

  /**
   * Finds an endpoint.
   *
   * @param id the id of the endpoint
   * @return the endpoint, empty if it is not listed
   */
  public Optional<EndpointRecord> find(final EndpointId id) {
    return Optional.ofNullable(records.get(id));
  }

  /**
   * Returns all endpoints.
   *
   * @return the endpoints of all services, including those that are draining
   */
  public Collection<EndpointRecord> all() {
    return records.values();
  }

  /**
   * Returns the number of changes of the list so far.
   *
   * @return a number that grows with each change
   */
  public long changeCount() {
    return changeCount;
  }

  /**
   * A registration of a removed run that a restored store lists again.
   *
   * @param registration the registration
   * @param provenAtMs the time from which the run counts as alive, in Unix milliseconds
   */
  private record Revival(EndpointRecord registration, long provenAtMs) {}
}
