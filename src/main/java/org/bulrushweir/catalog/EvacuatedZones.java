package org.bulrushweir.catalog;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bulrushweir.api.ZoneName;

/**
 * Decides which availability zones get no new requests, because operators evacuate them. Only the
 * store's table ends an evacuation that it has started. Peers may add one while this gateway is cut
 * off from the store or has just started.
 *
 * <p>A confirmation by the store proves what the table held when the poll started, which was not
 * before the previous confirmation. The response itself may have been on its way for any time.
 */
public final class EvacuatedZones {

  /**
   * The time after the restoration of the store from an older copy for which a row that is missing
   * from the copy stays in force, in milliseconds. Operators write lost rows again within it.
   */
  static final long RESTORED_ABSENCE_MS = 5_000;

  /**
   * The time after the first read of the table for which peers' reports are believed although the
   * store confirms the table, in milliseconds. The store may have been restored just before, and
   * the peers still hold the row that is missing from it.
   */
  static final long START_MS = RESTORED_ABSENCE_MS;

  /**
   * The share of the bound on the start of an evacuation that passes without a confirmation before
   * this gateway counts as cut off: short enough for the reports of peers to arrive within it.
   */
  private static final double CUT_OFF_SHARE = 0.5;

  /**
   * The shortest time without a confirmation after which this gateway counts as cut off, in
   * milliseconds: longer than any poll that succeeds, which takes 2.1 s at most.
   */
  private static final long MIN_CUT_OFF_MS = 2_200;

  /** The number of zones that peers may add; a region has only a few. */
  private static final int MAX_CLAIMED_ZONES = 64;

  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  /** The zones with a row, including rows that are missing from a restored store. */
  private final Map<ZoneName, RowState> rows = new HashMap<>();

  /** The time at which the table must have lacked the row of a zone, which ends a peer's claim. */
  private final Map<ZoneName, Long> claimEndsMs = new HashMap<>();

  private final long cutOffMs;
  private long confirmedAtMs = NEVER_MS;
  private long provenAtMs = NEVER_MS;
  private long firstReadMs = NEVER_MS;
  private boolean restored;

  /**
   * Creates the decision without any evacuated zone.
   *
   * @param boundMs the time after which an evacuation must be in force, in milliseconds
   */
  public EvacuatedZones(final long boundMs) {
    cutOffMs = Math.max(MIN_CUT_OFF_MS, (long) (CUT_OFF_SHARE * boundMs));
  }

  /**
   * Records a confirmation of the table, after which the rows that belong to it are applied.
   *
   * @param asOfMs the time as of which the table is up to date, in Unix milliseconds
   */
  public void recordConfirmation(final long asOfMs) {
    provenAtMs = confirmedAtMs;
    confirmedAtMs = asOfMs;
  }

  /** Records that the store was restored from an older copy, which the next snapshot shows. */
  public void recordRestoration() {
    restored = true;
    confirmedAtMs = NEVER_MS;
    provenAtMs = NEVER_MS;
  }

  /**
   * Replaces all rows by a snapshot of the table. A zone without a row is no longer evacuated,
   * unless the store was restored from an older copy: then the row must still be missing after
   * {@link #RESTORED_ABSENCE_MS}.
   *
   * @param zones the zones with a row
   * @param nowMs the current time, in Unix milliseconds
   */
  public void replaceAll(final Collection<ZoneName> zones, final long nowMs) {
    if (firstReadMs == NEVER_MS) {
      firstReadMs = nowMs;
    }
    final Set<ZoneName> listed = new HashSet<>(zones);
    if (restored) {
      rows.replaceAll((zone, row) -> row.missingSince(nowMs));
      claimEndsMs.replaceAll((zone, endMs) -> Math.max(endMs, nowMs + RESTORED_ABSENCE_MS));
    } else {
      rows.entrySet().removeIf(row -> row.getValue().present() && !listed.contains(row.getKey()));
    }
    restored = false;
    listed.forEach(zone -> put(zone, nowMs));
  }

  /**
   * Records that the table has a row for a zone.
   *
   * @param zone the zone
   * @param nowMs the current time, in Unix milliseconds
   */
  public void put(final ZoneName zone, final long nowMs) {
    claimEndsMs.remove(zone);
    final RowState known = rows.get(zone);
    rows.put(zone, new RowState(known == null ? nowMs : known.sinceMs(), NEVER_MS));
  }

  /**
   * Records that the row of a zone was removed from the table.
   *
   * @param zone the zone
   */
  public void remove(final ZoneName zone) {
    rows.remove(zone);
    claimEndsMs.remove(zone);
  }

  /**
   * Records that a peer's table has a row for a zone. Without effect while the store confirms this
   * gateway's own table, except shortly after the start.
   *
   * @param zone the zone
   * @param nowMs the current time, in Unix milliseconds
   */
  public void recordClaim(final ZoneName zone, final long nowMs) {
    final boolean starting = firstReadMs == NEVER_MS || nowMs - firstReadMs <= START_MS;
    final boolean cutOff = nowMs - confirmedAtMs > cutOffMs;
    final boolean hasRoom = claimEndsMs.size() < MAX_CLAIMED_ZONES || claimEndsMs.containsKey(zone);
    if (!starting && !cutOff || rows.containsKey(zone) || !hasRoom) {
      return;
    }
    claimEndsMs.merge(zone, starting ? nowMs + RESTORED_ABSENCE_MS : nowMs, Math::max);
  }

  /**
   * Ends the evacuations that neither the store's table nor a peer's claim supports any more. Must
   * not be called between {@link #recordConfirmation} and the rows that belong to it.
   */
  public void expire() {
    rows.values()
        .removeIf(row -> !row.present() && provenAtMs >= row.missingMs() + RESTORED_ABSENCE_MS);
    claimEndsMs.values().removeIf(endMs -> provenAtMs >= endMs);
  }

  /**
   * Returns whether an endpoint may get a new request.
   *
   * @param endpoint the endpoint
   * @param nowMs the current time, in Unix milliseconds; evacuations do not end by time
   * @return false if its zone is evacuated
   */
  public boolean accepts(final EndpointRecord endpoint, final long nowMs) {
    return !isEvacuated(endpoint.zone());
  }

  /**
   * Returns whether a zone is evacuated.
   *
   * @param zone the zone
   * @return true if its endpoints get no new requests
   */
  public boolean isEvacuated(final ZoneName zone) {
    return rows.containsKey(zone) || claimEndsMs.containsKey(zone);
  }

  /**
   * Returns whether a zone is evacuated only because a peer says so.
   *
   * @param zone the zone
   * @return false if this gateway has read the zone's row itself
   */
  public boolean isClaimed(final ZoneName zone) {
    return claimEndsMs.containsKey(zone) && !rows.containsKey(zone);
  }

  /**
   * Returns the evacuated zones.
   *
   * @return a copy
   */
  public Set<ZoneName> zones() {
    final Set<ZoneName> zones = new HashSet<>(rows.keySet());
    zones.addAll(claimEndsMs.keySet());
    return zones;
  }

  /**
   * Returns the zones whose rows this gateway has read itself. Zones that peers have added are left
   * out, so that gateways do not pass an ended evacuation on among themselves.
   *
   * @param limit the largest number of zones that is returned
   * @return the zones, the latest evacuation first
   */
  public List<ZoneName> read(final int limit) {
    return rows.entrySet().stream()
        .sorted(
            Comparator.comparingLong(
                    (Map.Entry<ZoneName, RowState> row) -> -row.getValue().sinceMs())
                .thenComparing(row -> row.getKey().value()))
        .limit(limit)
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * The row of an evacuated zone.
   *
   * @param sinceMs when it was first read, in Unix milliseconds
   * @param missingMs when a restored store was first seen without it, {@link #NEVER_MS} if the
   *     table holds it
   */
  private record RowState(long sinceMs, long missingMs) {
    boolean present() {
      return missingMs == NEVER_MS;
    }

    RowState missingSince(final long nowMs) {
      return new RowState(sinceMs, nowMs);
    }
  }
}
